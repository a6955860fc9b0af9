"""HTTP server on Tornado's HTTP layer; omits the web framework to start faster."""

from abc import ABC, abstractmethod
from asyncio import create_task
from dataclasses import dataclass, field
from http.client import responses
from logging import getLogger

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.iostream import StreamClosedError

from jujubebarrow.links.link_meters import LinkMeter
from jujubebarrow.links.traffic_kinds import TrafficKind
from jujubebarrow.metrics.registries import MetricsRegistry

_logger = getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ServerResponse:
    """Response that an HTTP server sends.

    Attributes:
        status: HTTP status code.
        body: Response body.
        headers: Additional response headers.
    """

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


class HttpRequestHandler(ABC):
    """Handles the requests to one listening address."""

    @abstractmethod
    async def handle(self, request: HTTPServerRequest) -> ServerResponse:
        """Return the response to a request."""

    @property
    @abstractmethod
    def closes_connections(self) -> bool:
        """Whether responses tell clients to close the connection."""


class HttpListener:
    """HTTP server that listens on one address.

    Args:
        address: IP and port to listen on.
        handler: Handles the requests.
        metrics: Registry of the counters.
        body_limit: Largest request body in bytes.
        meter: Records the traffic of the requests; None if it is not recorded.
        kind: Purpose of the requests.

    Attributes:
        active_request_count: Number of requests in progress.
    """

    def __init__(
        self,
        address: str,
        handler: HttpRequestHandler,
        metrics: MetricsRegistry,
        body_limit: int,
        meter: LinkMeter | None = None,
        kind: TrafficKind = TrafficKind.OTHER,
    ):
        self._handler = handler
        self._meter = meter
        self._kind = kind
        self._metrics = metrics
        self.active_request_count = 0
        self._server = HTTPServer(
            self._start_request, no_keep_alive=False, max_body_size=body_limit
        )
        host, port = address.rsplit(":", 1)
        self._server.listen(int(port), host, backlog=1024)

    def _start_request(self, request: HTTPServerRequest) -> None:
        self.active_request_count += 1
        task = create_task(self._serve(request))
        # asyncio holds only weak references to tasks. The connection references the
        # request, and the request references the task.
        request.task = task  # type: ignore[attr-defined]

    async def _serve(self, request: HTTPServerRequest) -> None:
        try:
            response = await self._handler.handle(request)
            if self._meter is not None:
                self._meter.record_received(self._kind, len(request.body))
                self._meter.record_sent(self._kind, len(response.body))
                self._meter.record_call(self._kind)
            self._send(request, response)
        except StreamClosedError:
            self._metrics.count("caller_left")
        except Exception:
            _logger.exception("request for %s failed", request.path)
            self._send(request, ServerResponse(500))
        finally:
            self.active_request_count -= 1

    def _send(self, request: HTTPServerRequest, response: ServerResponse) -> None:
        headers = HTTPHeaders({"Content-Length": str(len(response.body))})
        if response.body:
            headers["Content-Type"] = "application/json"
        for name, value in response.headers.items():
            headers[name] = value
        if self._handler.closes_connections:
            headers["Connection"] = "close"
        line = ResponseStartLine(
            "HTTP/1.1", response.status, responses.get(response.status, "")
        )
        connection = request.connection
        if connection is None:
            return
        connection.write_headers(line, headers, response.body or None)
        connection.finish()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()
        await self._server.close_all_connections()
