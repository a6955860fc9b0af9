"""What operators look at."""

from asyncio import gather

from jujubebarrow.errors.exceptions import PeerLostError
from jujubebarrow.operators.explanation_documents import ExplainedLine, ExplainedSubject
from jujubebarrow.operators.operator_handlers import OperatorHandler
from jujubebarrow.peers.explanation_messages import ExplainRequest, Explanations


class StatusHandler(OperatorHandler):
    """Shows the whole state."""

    def get(self) -> None:
        """Show the state as seen from here."""
        self.answer(self.context.status.read())


class MetricsHandler(OperatorHandler):
    """Shows counters and latencies."""

    def get(self) -> None:
        """Show all metrics as text."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self.context.metrics.render())


class ExplainHandler(OperatorHandler):
    """Shows recent decisions."""

    async def get(self) -> None:
        """Show decisions on a subject from all instances that answer."""
        subject = self.get_query_argument("subject")
        lines = [
            ExplainedLine(
                time=entry.time,
                instance=self.context.settings.instance,
                sentence=entry.sentence,
            )
            for entry in self.context.explanations.find(subject)
        ]
        silent: list[str] = []
        names = self.context.peers.peers_alive()
        answers = await gather(*(self._ask(name, subject, silent) for name in names))
        for answer in answers:
            lines.extend(answer)
        lines.sort(key=lambda line: line.time)
        self.answer(ExplainedSubject(subject=subject, lines=lines, silent=silent))

    async def _ask(
        self, name: str, subject: str, silent: list[str]
    ) -> list[ExplainedLine]:
        request = ExplainRequest(subject=subject)
        timeout = self.context.settings.peer_timeout
        try:
            reply = await self.context.peers.request(name, request, timeout)
        except PeerLostError:
            silent.append(name)
            return []
        if not isinstance(reply, Explanations):
            return []
        return [
            ExplainedLine(time=time, instance=instance, sentence=sentence)
            for time, instance, sentence in reply.lines
        ]
