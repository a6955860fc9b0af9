"""Jobs of all teams."""

from jujubebarrow.identifiers import JobId, QueueId
from jujubebarrow.operators.job_documents import JobList, describe_summary
from jujubebarrow.operators.operator_handlers import OperatorHandler


class JobsHandler(OperatorHandler):
    """Lists open jobs."""

    async def get(self) -> None:
        """Show all jobs that are not finished."""
        jobs = await self.context.jobs.list_jobs()
        documents = [describe_summary(job) for job in jobs if not job.phase.is_final]
        self.answer(JobList(jobs=documents))


class OperatorJobHandler(OperatorHandler):
    """Shows and cancels one job."""

    async def get(self, queue: str, name: str) -> None:
        """Show a job."""
        job = await self.context.jobs.find_job(QueueId(queue), JobId(name))
        self.answer(describe_summary(job))

    async def delete(self, queue: str, name: str) -> None:
        """Cancel a job: that is stored when this answers."""
        access = self.context.jobs
        job = await access.find_job(QueueId(queue), JobId(name))
        await access.intake.cancel(access.find_route(job.queue), job.team, job.job)
        job = await access.find_job(QueueId(queue), JobId(name))
        self.answer(describe_summary(job))
