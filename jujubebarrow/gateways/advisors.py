"""Interface to the service that says which workers may run a step."""

from abc import ABC, abstractmethod

from jujubebarrow.errors.exceptions import JujubebarrowError
from jujubebarrow.identifiers import JobId
from jujubebarrow.workloads.identifiers import WorkerId


class AdviceError(JujubebarrowError):
    """The service gave no advice."""


class Advisor(ABC):
    """Grants steps on workers."""

    @abstractmethod
    async def advise(
        self,
        step: tuple[JobId, int, int],
        workers: list[WorkerId],
        timeout: float,
    ) -> dict[WorkerId, str]:
        """Return the ticket for each worker that may run a step.

        Args:
            step: Job, occurrence and number of the step.
            workers: Workers asked about.
            timeout: Longest time for the answer in seconds.

        Raises:
            AdviceError: No answer.
        """
