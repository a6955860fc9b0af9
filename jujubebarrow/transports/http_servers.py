"""HTTP server of the library without its web framework, for a short start."""

from abc import ABC, abstractmethod
from asyncio import create_task
from dataclasses import dataclass, field
from http.client import responses

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.iostream import StreamClosedError

from jujubebarrow.metrics.registries import MetricsRegistry


@dataclass(frozen=True, slots=True)
class HttpReply:
    """Answer to a request.

    Attributes:
        status: HTTP status code.
        body: Body.
        headers: Headers beside those of every answer.
    """

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


class RequestAnswerer(ABC):
    """Answers the requests of one address."""

    @abstractmethod
    async def answer(self, request: HTTPServerRequest) -> HttpReply:
        """Return the answer to a request."""

    @property
    @abstractmethod
    def closes_connections(self) -> bool:
        """Whether clients are told to use another connection."""


class AnsweringServer:
    """Listens on one address.

    Args:
        address: IP and port.
        answerer: Answers the requests.
        metrics: Counters.
        body_limit: Largest body in bytes.
    """

    def __init__(
        self,
        address: str,
        answerer: RequestAnswerer,
        metrics: MetricsRegistry,
        body_limit: int,
    ):
        self._answerer = answerer
        self._metrics = metrics
        self.in_flight = 0
        self._server = HTTPServer(
            self._take, no_keep_alive=False, max_body_size=body_limit
        )
        host, port = address.rsplit(":", 1)
        self._server.listen(int(port), host, backlog=1024)

    def _take(self, request: HTTPServerRequest) -> None:
        self.in_flight += 1
        task = create_task(self._serve(request))
        # The connection keeps the request and the request its task.
        request.task = task  # type: ignore[attr-defined]

    async def _serve(self, request: HTTPServerRequest) -> None:
        try:
            reply = await self._answerer.answer(request)
            self._send(request, reply)
        except StreamClosedError:
            self._metrics.count("caller_left")
        finally:
            self.in_flight -= 1

    def _send(self, request: HTTPServerRequest, reply: HttpReply) -> None:
        headers = HTTPHeaders({"Content-Length": str(len(reply.body))})
        if reply.body:
            headers["Content-Type"] = "application/json"
        for name, value in reply.headers.items():
            headers[name] = value
        if self._answerer.closes_connections:
            headers["Connection"] = "close"
        line = ResponseStartLine(
            "HTTP/1.1", reply.status, responses.get(reply.status, "")
        )
        connection = request.connection
        if connection is None:
            return
        connection.write_headers(line, headers, reply.body or None)
        connection.finish()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()
        await self._server.close_all_connections()
