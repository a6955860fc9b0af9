"""Answers to the platform's readiness probe and to readers of metrics."""

from tornado.httputil import HTTPServerRequest

from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.entry_nodes import EntryNode
from jujubebarrow.transports.http_servers import HttpReply, RequestAnswerer

READY_PATH = "/-/readyz"
METRICS_PATH = "/metrics"


class ReadinessAnswerer(RequestAnswerer):
    """Says whether new clients should be sent here.

    Args:
        node: Entry instance.
    """

    def __init__(self, node: EntryNode):
        self._node = node

    @property
    def closes_connections(self) -> bool:
        """Whether clients are told to use another connection."""
        return False

    async def answer(self, request: HTTPServerRequest) -> HttpReply:
        """Return the answer to a probe."""
        if request.path != READY_PATH:
            return HttpReply(404)
        return HttpReply(200 if self._node.is_ready else 503)


class MetricsAnswerer(RequestAnswerer):
    """Serves counters and latencies as text.

    Args:
        metrics: Counters and latencies.
    """

    def __init__(self, metrics: MetricsRegistry):
        self._metrics = metrics

    @property
    def closes_connections(self) -> bool:
        """Whether clients are told to use another connection."""
        return False

    async def answer(self, request: HTTPServerRequest) -> HttpReply:
        """Return all metrics."""
        if request.path != METRICS_PATH:
            return HttpReply(404)
        body = self._metrics.render().encode()
        return HttpReply(200, body, {"Content-Type": "text/plain; version=0.0.4"})
