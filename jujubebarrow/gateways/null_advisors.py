"""Advisor for installations without a placement advice service."""

from jujubebarrow.gateways.advisors import AdviceError, Advisor
from jujubebarrow.identifiers import JobId
from jujubebarrow.workloads.identifiers import WorkerId


class NullAdvisor(Advisor):
    """Advisor for installations where no queue requires placement advice."""

    async def advise(
        self,
        step: tuple[JobId, int, int],
        workers: list[WorkerId],
        timeout: float,
    ) -> dict[WorkerId, str]:
        """Raise AdviceError, since no advice service is configured."""
        raise AdviceError("no placement advice service is configured")
