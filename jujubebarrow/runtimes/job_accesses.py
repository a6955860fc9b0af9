"""Access to jobs for the callers' and operators' HTTP handlers."""

from dataclasses import dataclass

from jujubebarrow.errors.exceptions import RefusalError, StoreError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.fleets.queue_routes import QueueRoute
from jujubebarrow.identifiers import JobId, QueueId, TeamId
from jujubebarrow.runtimes.fleet_sources import FleetSource
from jujubebarrow.runtimes.job_browsers import JobBrowser, JobSummary
from jujubebarrow.runtimes.job_intakes import JobIntake

RETRY_SECONDS = 1.0
"""Value of Retry-After while the instance has not read a queue's configuration yet or
the store does not answer."""


@dataclass(frozen=True, slots=True)
class JobAccess:
    """Operations on jobs and the configuration that they depend on.

    Attributes:
        intake: Accepts, reports and cancels callers' jobs.
        browser: Lists and finds the jobs of a queue.
        fleet_source: Source of the configuration that the owners of pools use.
    """

    intake: JobIntake
    browser: JobBrowser
    fleet_source: FleetSource

    async def list_jobs(self) -> list[JobSummary]:
        """Return the jobs of all queues.

        Raises:
            RefusalError: The store does not answer.
        """
        fleet = self.fleet_source.fleet
        jobs: list[JobSummary] = []
        try:
            for queue in sorted(fleet.queues) if fleet is not None else ():
                jobs.extend(await self.browser.list_jobs(queue))
        except StoreError as error:
            raise _make_refusal(error) from error
        return jobs

    async def find_job(
        self, queue: QueueId, job: JobId, team: TeamId | None = None
    ) -> JobSummary:
        """Return a job.

        Args:
            queue: Queue that the job was submitted to.
            job: Id of the job.
            team: Team that requests the job and sees only its own jobs; None for an
                operator.

        Raises:
            RefusalError: The job does not exist or belongs to another team, or the
                store does not answer.
        """
        try:
            found = await self.browser.find_job(queue, job)
        except StoreError as error:
            raise _make_refusal(error) from error
        if found is None or team not in (None, found.team):
            raise RefusalError(ErrorKind.NOT_FOUND, f"job {job}")
        return found

    def find_route(self, queue: QueueId) -> QueueRoute:
        """Return the route of a configured queue.

        Raises:
            RefusalError: The configuration in force does not contain the queue, or no
                configuration has been read yet.
        """
        fleet = self.fleet_source.fleet
        route = fleet.queues.get(queue) if fleet is not None else None
        if route is None:
            raise RefusalError(ErrorKind.NOT_READY, queue, RETRY_SECONDS)
        return route


def _make_refusal(error: StoreError) -> RefusalError:
    return RefusalError(ErrorKind.STORE_UNAVAILABLE, str(error), RETRY_SECONDS)
