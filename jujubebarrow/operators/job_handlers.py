"""Jobs of all teams."""

from jujubebarrow.errors.exceptions import RefusalError, StoreError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.identifiers import JobId, QueueId
from jujubebarrow.operators.job_documents import JobList, describe_summary
from jujubebarrow.operators.operator_handlers import OperatorHandler
from jujubebarrow.runtimes.job_browsers import JobSummary

RETRY_SECONDS = 1.0
"""Retry-After while the store does not answer."""


class JobsHandler(OperatorHandler):
    """Lists open jobs."""

    async def get(self) -> None:
        """Show all jobs that are not finished."""
        access = self.context.jobs
        jobs: list[JobSummary] = []
        try:
            for queue in access.list_queues():
                jobs.extend(await access.browser.list_jobs(queue))
        except StoreError as error:
            raise RefusalError(
                ErrorKind.STORE_UNAVAILABLE, str(error), RETRY_SECONDS
            ) from error
        documents = [describe_summary(job) for job in jobs if not job.phase.is_final]
        self.answer(JobList(jobs=documents))


class OperatorJobHandler(OperatorHandler):
    """Shows and cancels one job."""

    async def get(self, queue: str, name: str) -> None:
        """Show a job."""
        self.answer(describe_summary(await self._find(queue, name)))

    async def delete(self, queue: str, name: str) -> None:
        """Cancel a job: that is stored when this answers."""
        job = await self._find(queue, name)
        access = self.context.jobs
        route = access.find_route(QueueId(queue))
        await access.intake.cancel(route, job.team, job.job)
        self.answer(describe_summary(await self._find(queue, name)))

    async def _find(self, queue: str, name: str) -> JobSummary:
        try:
            job = await self.context.jobs.browser.find_job(QueueId(queue), JobId(name))
        except StoreError as error:
            raise RefusalError(
                ErrorKind.STORE_UNAVAILABLE, str(error), RETRY_SECONDS
            ) from error
        if job is None:
            raise RefusalError(ErrorKind.NOT_FOUND, f"job {name}")
        return job
