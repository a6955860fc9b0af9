"""Small HTTP/1.1 server and client for the stand-ins."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

REASONS = {200: "OK", 409: "Conflict", 410: "Gone", 412: "Precondition Failed"}


@dataclass
class Request:
    """Request that a stand-in has read.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        query: First value of each query parameter.
        headers: Headers by lower-case name.
        body: Request body.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body or b"{}")


@dataclass
class Response:
    """Response of a stand-in or of an instance.

    Attributes:
        status: HTTP status code.
        document: Body, encoded as JSON.
        headers: Additional headers.
    """

    status: int
    document: Any = None
    headers: dict[str, str] = field(default_factory=dict)


Handler = Callable[[Request], Awaitable[Response | None]]


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Server:
    """HTTP server of a stand-in; a handler that returns None resets the connection.

    Args:
        handler: Returns the response to a request.
    """

    def __init__(self, handler: Handler):
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self, host: str, port: int = 0) -> str:
        """Listen and return the address."""
        self._server = await asyncio.start_server(self._serve, host, port)
        port = self._server.sockets[0].getsockname()[1]
        return f"{host}:{port}"

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            with suppress(
                asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError
            ):
                while await self._serve_one(reader, writer):
                    pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        line, headers = await _read_head(reader)
        method, target, _ = line.split(" ", 2)
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        parts = urlsplit(target)
        query = {
            name: values[0]
            for name, values in parse_qs(parts.query, keep_blank_values=True).items()
        }
        response = await self._handler(
            Request(method, parts.path, query, headers, body)
        )
        if response is None:
            return False
        data = json.dumps(response.document).encode()
        reason = REASONS.get(response.status, "Status")
        head = (
            f"HTTP/1.1 {response.status} {reason}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
        )
        writer.write(head.encode() + data)
        await writer.drain()
        return True


async def call(
    address: str,
    method: str,
    path: str,
    document: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = 3.0,
) -> Response | None:
    """Send a request on a connection of its own.

    Returns:
        The response; None if there was none.
    """
    try:
        return await asyncio.wait_for(
            _call(address, method, path, document, headers or {}), timeout
        )
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None


async def _call(
    address: str,
    method: str,
    path: str,
    document: Any,
    headers: dict[str, str],
) -> Response:
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        data = b"" if document is None else json.dumps(document).encode()
        lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}"]
        if data:
            lines.append("Content-Type: application/json")
        if "Host" not in headers:
            lines.append(f"Host: {address}")
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join([*lines, "", ""]).encode() + data)
        await writer.drain()
        line, found = await _read_head(reader)
        body = await reader.readexactly(int(found.get("content-length", "0")))
        status = int(line.split(" ")[1])
        try:
            decoded = json.loads(body) if body else None
        except ValueError:
            decoded = body.decode("latin-1")
        return Response(status, decoded, found)
    finally:
        writer.close()
