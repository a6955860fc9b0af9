"""Handlers of the readiness probe and of the metrics endpoint."""

from tornado.httputil import HTTPServerRequest

from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.entry_nodes import EntryNode
from jujubebarrow.transports.http_servers import HttpRequestHandler, ServerResponse

READINESS_PATH = "/-/readyz"
METRICS_PATH = "/metrics"


class ReadinessHandler(HttpRequestHandler):
    """Reports whether the platform may send new callers to this instance.

    Args:
        node: Entry instance whose readiness is reported.
    """

    def __init__(self, node: EntryNode):
        self._node = node

    @property
    def closes_connections(self) -> bool:
        """Whether responses tell clients to close the connection."""
        return False

    async def handle(self, request: HTTPServerRequest) -> ServerResponse:
        """Return the response to a readiness probe."""
        if request.path != READINESS_PATH:
            return ServerResponse(404)
        return ServerResponse(200 if self._node.is_ready else 503)


class PlatformMetricsHandler(HttpRequestHandler):
    """Serves counters and latencies in the Prometheus text format.

    Args:
        metrics: Registry of the counters and latencies.
    """

    def __init__(self, metrics: MetricsRegistry):
        self._metrics = metrics

    @property
    def closes_connections(self) -> bool:
        """Whether responses tell clients to close the connection."""
        return False

    async def handle(self, request: HTTPServerRequest) -> ServerResponse:
        """Return all metrics in the Prometheus text format."""
        if request.path != METRICS_PATH:
            return ServerResponse(404)
        body = self._metrics.render().encode()
        return ServerResponse(200, body, {"Content-Type": "text/plain; version=0.0.4"})
