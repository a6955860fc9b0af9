"""Small HTTP/1.1 server and client on asyncio streams."""

import asyncio
import json
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, urlsplit

HEADER_LIMIT_BYTES = 1 << 20
"""Longest line that the server reads."""
QUEUE_FILLERS = 4


@dataclass(slots=True)
class Request:
    """Request that a server has read completely."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def to_document(self) -> dict[str, Any]:
        """Return the decoded JSON body."""
        return json.loads(self.body)


@dataclass(slots=True)
class Response:
    """Response of a server; None as the body sends an empty one."""

    status: int
    document: Any = None
    headers: dict[str, str] = field(default_factory=dict)


Handler = Callable[[Request], Awaitable[Response | None]]


class ResetError(Exception):
    """A handler resets the connection instead of a response."""


class Server:
    """HTTP server on one loopback address.

    A handler that returns None leaves the request without a response; the connection
    stays open and delivers nothing further. One that raises ResetError resets it.

    Args:
        handler: Returns the response to a request.
    """

    def __init__(self, handler: Handler):
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._sockets: list[socket.socket] = []
        self.is_silent = False
        self.port = 0

    async def open(self, port: int = 0) -> None:
        """Listen on a port; 0 for a free one."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=HEADER_LIMIT_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """IP and port that the server listens on."""
        return f"127.0.0.1:{self.port}"

    def go_silent(self) -> None:
        """Let new connections hang, as those to a machine without power do.

        The queue of new connections is full and nobody accepts any, so that the kernel
        drops the opening packets. Open connections stay and deliver nothing further.
        """
        self.is_silent = True
        if self._server is not None:
            self._server.close()
            self._server = None
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self.port))
        listener.listen(0)
        self._sockets.append(listener)
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self._sockets.append(filler)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        for item in self._sockets:
            item.close()
        self._sockets.clear()
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await _read_request(reader)) is not None:
                response = None
                if not self.is_silent:
                    response = await self._handler(request)
                if response is None or self.is_silent:
                    await reader.read()
                    return
                writer.write(_encode_response(response))
                await writer.drain()
        except ResetError:
            writer.transport.abort()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    line = await reader.readline()
    if not line.strip():
        return None
    method, target, _ = line.decode().split()
    headers = await _read_headers(reader)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urlsplit(target)
    query = dict(parse_qsl(parts.query, keep_blank_values=True))
    return Request(method, parts.path, query, headers, body)


async def _read_headers(reader: asyncio.StreamReader) -> dict[str, str]:
    headers = {}
    while line := (await reader.readline()).decode().strip():
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return headers


def _encode_response(response: Response) -> bytes:
    body = b"" if response.document is None else json.dumps(response.document).encode()
    head = [f"HTTP/1.1 {response.status} -", f"Content-Length: {len(body)}"]
    if body:
        head.append("Content-Type: application/json")
    head += [f"{name}: {value}" for name, value in response.headers.items()]
    return "\r\n".join([*head, "", ""]).encode() + body


async def call(
    address: str,
    method: str,
    target: str,
    document: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = 3.0,
) -> tuple[int, Any]:
    """Send a request on a new connection; return the status and the decoded body.

    The status is 0 if there was no complete response within the timeout.
    """
    try:
        async with asyncio.timeout(timeout):
            return await _exchange(address, method, target, document, headers or {})
    except (OSError, EOFError, ValueError, IndexError, TimeoutError):
        return 0, None


async def _exchange(
    address: str, method: str, target: str, document: Any, headers: dict[str, str]
) -> tuple[int, Any]:
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        body = b"" if document is None else json.dumps(document).encode()
        lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}"]
        if body:
            lines.append("Content-Type: application/json")
        headers = {"Host": address} | headers
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await writer.drain()
        status = int((await reader.readline()).split()[1])
        answer = await _read_headers(reader)
        data = await reader.readexactly(int(answer.get("content-length", "0")))
        return status, json.loads(data) if data else None
    finally:
        writer.close()
