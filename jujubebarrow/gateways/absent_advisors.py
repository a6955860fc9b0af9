"""Placement advice where there is none."""

from jujubebarrow.gateways.advisors import AdviceError, Advisor
from jujubebarrow.identifiers import JobId
from jujubebarrow.workloads.identifiers import WorkerId


class AbsentAdvisor(Advisor):
    """Stands for the service where no queue needs advice."""

    async def advise(
        self,
        step: tuple[JobId, int, int],
        workers: list[WorkerId],
        timeout: float,
    ) -> dict[WorkerId, str]:
        """Raise the error of a service that does not answer."""
        raise AdviceError("there is no placement advice")
