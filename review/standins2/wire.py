"""HTTP/1.1 server and client on loopback addresses."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

Response = tuple[int, Any]
Handler = Callable[[str, str, dict[str, str], Any], Awaitable[Response]]
LOOPBACK = "127.0.0.1"


async def _read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    first, *lines = head.split("\r\n")
    pairs = [line.split(":", 1) for line in lines if ":" in line]
    headers = {name.strip().lower(): value.strip() for name, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


async def serve(handler: Handler) -> str:
    """Serve requests on a free port; return the address."""

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers, body = await _read_message(reader)
                method, target, _ = first.split(" ", 2)
                document = json.loads(body) if body else {}
                status, answer = await handler(method, target, headers, document)
                data = json.dumps(answer).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    server = await asyncio.start_server(run, LOOPBACK, 0)
    return f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    document: Any = None,
    timeout: float = 3.0,
) -> Response:
    """Send a request; return status 0 without an answer."""
    try:
        return await asyncio.wait_for(
            _call(address, method, path, headers or {}, document), timeout
        )
    except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
        return 0, repr(error)


async def _call(
    address: str, method: str, path: str, headers: dict[str, str], document: Any
) -> Response:
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        body = json.dumps(document).encode() if document is not None else b""
        fields = {"Host": address, "Content-Length": str(len(body))} | headers
        lines = [f"{name}: {value}\r\n" for name, value in fields.items()]
        head = f"{method} {path} HTTP/1.1\r\n{''.join(lines)}\r\n"
        writer.write(head.encode() + body)
        first, _, data = await _read_message(reader)
        return int(first.split(" ")[1]), json.loads(data) if data else None
    finally:
        writer.close()
