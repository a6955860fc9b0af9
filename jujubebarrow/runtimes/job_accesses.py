"""What callers' and operators' handlers need of the job core."""

from dataclasses import dataclass

from jujubebarrow.errors.exceptions import RefusalError, StoreError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.fleets.queue_routes import QueueRoute
from jujubebarrow.identifiers import JobId, QueueId, TeamId
from jujubebarrow.runtimes.fleet_sources import FleetSource
from jujubebarrow.runtimes.job_browsers import JobBrowser, JobSummary
from jujubebarrow.runtimes.job_intakes import JobIntake

RETRY_SECONDS = 1.0
"""Retry-After while an instance has not read a queue yet, or the store is silent."""


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

    async def list_jobs(self) -> list[JobSummary]:
        """Return the jobs of all queues.

        Raises:
            RefusalError: The store does not answer.
        """
        fleet = self.fleet.fleet
        jobs: list[JobSummary] = []
        try:
            for queue in sorted(fleet.queues) if fleet is not None else ():
                jobs.extend(await self.browser.list_jobs(queue))
        except StoreError as error:
            raise _refuse(error) from error
        return jobs

    async def find_job(
        self, queue: QueueId, job: JobId, team: TeamId | None = None
    ) -> JobSummary:
        """Return a job.

        Args:
            queue: Queue.
            job: Job.
            team: Team that asks, which is told of its own jobs only; None for an
                operator.

        Raises:
            RefusalError: There is no such job, or the store does not answer.
        """
        try:
            found = await self.browser.find_job(queue, job)
        except StoreError as error:
            raise _refuse(error) from error
        if found is None or team not in (None, found.team):
            raise RefusalError(ErrorKind.NOT_FOUND, f"job {job}")
        return found

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


def _refuse(error: StoreError) -> RefusalError:
    return RefusalError(ErrorKind.STORE_UNAVAILABLE, str(error), RETRY_SECONDS)
