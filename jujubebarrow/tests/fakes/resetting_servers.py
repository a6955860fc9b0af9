"""HTTP server on the loopback that resets connections instead of answering."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from inspect import isawaitable

from jujubebarrow.standins.ports import LOOPBACK

RESET_AT_CLOSE = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True)
class ServerRequest:
    """Request that the server has read.

    Attributes:
        target: Path with the query.
        body: Request body.
    """

    target: str
    body: bytes


Response = tuple[int, bytes] | tuple[int, bytes, str] | None
Responder = Callable[[ServerRequest], Response | Awaitable[Response]]


class ResettingServer:
    """Serves each request with the response that a function returns.

    Args:
        respond: Returns the status, the body and, if there is one, a line for the
            head of the response; None resets the connection.
        host: Address to listen on.
    """

    def __init__(self, respond: Responder, host: str = LOOPBACK):
        self._respond = respond
        self._host = host
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> str:
        """Listen and return the address."""
        self._server = await asyncio.start_server(self._serve, self._host, 0)
        return f"{self._host}:{self._server.sockets[0].getsockname()[1]}"

    def stop_listening(self) -> None:
        """Refuse new connections; those that are open stay."""
        if self._server is not None:
            self._server.close()

    def abort_connections(self) -> None:
        """Close all connections without responses to their requests."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self.stop_listening()
        self.abort_connections()
        await asyncio.sleep(0)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                response = self._respond(await _read_request(reader))
                if isawaitable(response):
                    response = await response
                if response is None:
                    reset_when_closed(writer)
                    return
                status, body, *lines = response
                lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *lines]
                writer.write("\r\n".join([*lines, "", ""]).encode() + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


def reset_when_closed(writer: asyncio.StreamWriter) -> None:
    """Let the end of a connection, if it is still open, be a reset."""
    if writer.is_closing():
        return
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)


async def _read_request(reader: asyncio.StreamReader) -> ServerRequest:
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    request_line, *lines = head.split("\r\n")
    size = 0
    for line in lines:
        if line.lower().startswith("content-length:"):
            size = int(line.split(":")[1])
    return ServerRequest(request_line.split(" ")[1], await reader.readexactly(size))
