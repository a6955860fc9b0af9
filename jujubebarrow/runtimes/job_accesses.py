"""What callers' and operators' handlers need of the job core."""

from dataclasses import dataclass

from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.fleets.queue_routes import QueueRoute
from jujubebarrow.identifiers import QueueId
from jujubebarrow.runtimes.fleet_sources import FleetSource
from jujubebarrow.runtimes.job_browsers import JobBrowser
from jujubebarrow.runtimes.job_intakes import JobIntake

RETRY_SECONDS = 1.0
"""Retry-After while an instance starts, or has not read a new queue yet."""


@dataclass(frozen=True, slots=True)
class JobAccess:
    """Way to the jobs.

    Attributes:
        intake: Takes, shows and cancels jobs.
        browser: Reads all jobs of a queue.
        fleet: Configuration that the job core goes by.
    """

    intake: JobIntake
    browser: JobBrowser
    fleet: FleetSource

    def list_queues(self) -> list[QueueId]:
        """Return all queues."""
        fleet = self.fleet.fleet
        return sorted(fleet.queues) if fleet is not None else []

    def find_route(self, queue: QueueId) -> QueueRoute:
        """Return where a configured queue's jobs run.

        Raises:
            RefusalError: The job core does not know the queue, or not yet.
        """
        fleet = self.fleet.fleet
        route = fleet.queues.get(queue) if fleet is not None else None
        if route is None:
            raise RefusalError(ErrorKind.NOT_READY, queue, RETRY_SECONDS)
        return route
