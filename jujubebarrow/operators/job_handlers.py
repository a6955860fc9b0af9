"""Web handlers for the jobs of all teams."""

from jujubebarrow.identifiers import JobId, QueueId
from jujubebarrow.operators.job_documents import JobList, make_job_document
from jujubebarrow.operators.operator_handlers import OperatorHandler


class JobsHandler(OperatorHandler):
    """Lists unfinished jobs."""

    async def get(self) -> None:
        """Return all unfinished jobs."""
        jobs = await self.context.jobs.list_jobs()
        documents = [make_job_document(job) for job in jobs if not job.phase.is_final]
        self.send_document(JobList(jobs=documents))


class OperatorJobHandler(OperatorHandler):
    """Returns and cancels one job."""

    async def get(self, queue: str, name: str) -> None:
        """Return a job."""
        job = await self.context.jobs.find_job(QueueId(queue), JobId(name))
        self.send_document(make_job_document(job))

    async def delete(self, queue: str, name: str) -> None:
        """Cancel a job; the response is sent after the cancellation is stored."""
        access = self.context.jobs
        job = await access.find_job(QueueId(queue), JobId(name))
        await access.intake.cancel(access.find_route(job.queue), job.team, job.job)
        job = await access.find_job(QueueId(queue), JobId(name))
        self.send_document(make_job_document(job))
