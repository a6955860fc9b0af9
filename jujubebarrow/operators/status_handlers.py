"""Web handlers for status, metrics and explanations."""

from asyncio import gather

from jujubebarrow.errors.exceptions import PeerLostError
from jujubebarrow.operators.explanation_documents import (
    DecisionDocument,
    ExplanationDocument,
)
from jujubebarrow.operators.operator_handlers import OperatorHandler
from jujubebarrow.peers.explanation_messages import ExplainReply, ExplainRequest


class StatusHandler(OperatorHandler):
    """Returns the status of the fleet."""

    def get(self) -> None:
        """Return the status of the fleet as seen from this instance."""
        self.send_document(self.context.status_reader.read_fleet())


class MetricsHandler(OperatorHandler):
    """Returns counters and latencies."""

    def get(self) -> None:
        """Return all metrics in the Prometheus text format."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self.context.metrics.render())


class ExplainHandler(OperatorHandler):
    """Returns recent decisions about a subject."""

    async def get(self) -> None:
        """Return the decisions about a subject from all instances that respond."""
        subject = self.get_query_argument("subject")
        lines = [
            DecisionDocument(
                time=entry.time,
                instance=self.context.settings.instance,
                sentence=entry.sentence,
            )
            for entry in self.context.explanations.find(subject)
        ]
        unresponsive: list[str] = []
        names = self.context.peers.list_responsive_peers()
        decisions = await gather(
            *(self._request_decisions(name, subject, unresponsive) for name in names)
        )
        for peer_lines in decisions:
            lines.extend(peer_lines)
        lines.sort(key=lambda line: line.time)
        self.send_document(
            ExplanationDocument(subject=subject, lines=lines, silent=unresponsive)
        )

    async def _request_decisions(
        self, name: str, subject: str, unresponsive: list[str]
    ) -> list[DecisionDocument]:
        request = ExplainRequest(subject=subject)
        timeout = self.context.settings.peer_timeout
        try:
            response = await self.context.peers.request(name, request, timeout)
        except PeerLostError:
            unresponsive.append(name)
            return []
        if not isinstance(response, ExplainReply):
            return []
        return [
            DecisionDocument(time=time, instance=instance, sentence=sentence)
            for time, instance, sentence in response.lines
        ]
