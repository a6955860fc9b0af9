"""Interface to the placement advice service."""

from abc import ABC, abstractmethod

from jujubebarrow.errors.exceptions import JujubebarrowError
from jujubebarrow.identifiers import JobId
from jujubebarrow.workloads.identifiers import WorkerId


class AdviceError(JujubebarrowError):
    """The placement advice service gave no usable response."""


class Advisor(ABC):
    """Requests placement advice: the workers that may run a step, with tickets."""

    @abstractmethod
    async def advise(
        self,
        step: tuple[JobId, int, int],
        workers: list[WorkerId],
        timeout: float,
    ) -> dict[WorkerId, str]:
        """Return a ticket for each worker that may run a step.

        Args:
            step: Job id, occurrence of the job and number of the step.
            workers: Ids of the candidate workers.
            timeout: Longest time to wait for the response, in seconds.

        Raises:
            AdviceError: The service gave no usable response.
        """
