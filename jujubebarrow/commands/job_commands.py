"""Accepted jobs."""

from urllib.parse import quote

from cleo.helpers import argument

from jujubebarrow.callers.job_documents import JobDocument
from jujubebarrow.commands.base_commands import OperatorCommand
from jujubebarrow.commands.clients import OperatorClient
from jujubebarrow.operators.job_documents import JobList


class JobListCommand(OperatorCommand):
    """Lists open jobs."""

    name = "job list"
    description = "List jobs that are not finished."

    def run_with(self, client: OperatorClient) -> None:
        """Print all open jobs."""
        found = client.get("/v1/jobs", JobList)
        rows = [
            [j.id, j.queue, j.state.value, j.attempts, j.reason] for j in found.jobs
        ]
        self.show(found, ["job", "queue", "state", "attempts", "reason"], rows)


class JobShowCommand(OperatorCommand):
    """Shows a job."""

    name = "job show"
    description = "Show a job and its outcome."
    arguments = [argument("job", "Job id.")]

    def run_with(self, client: OperatorClient) -> None:
        """Print the job."""
        path = f"/v1/jobs/{quote(self.argument('job'), safe='')}"
        job = client.get(path, JobDocument)
        self.show(job, ["field", "value"], list(job.model_dump(mode="json").items()))


class JobCancelCommand(OperatorCommand):
    """Cancels a job."""

    name = "job cancel"
    description = "Cancel a job; one that runs is not started again."
    arguments = [argument("job", "Job id.")]

    def run_with(self, client: OperatorClient) -> None:
        """Cancel the job."""
        path = f"/v1/jobs/{quote(self.argument('job'), safe='')}"
        job = client.change("DELETE", path, JobDocument)
        self.tell(job, f"job {job.id} is {job.state.value}: {job.reason}")
