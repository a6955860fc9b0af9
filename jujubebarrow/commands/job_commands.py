"""Commands for accepted jobs."""

from urllib.parse import quote

from cleo.helpers import argument

from jujubebarrow.commands.base_commands import OperatorCommand
from jujubebarrow.commands.clients import OperatorClient
from jujubebarrow.operators.job_documents import JobList, OperatorJobDocument


def make_job_path(queue: str, job: str) -> str:
    """Return the URL path of a job in the operators' interface."""
    return f"/v1/jobs/{quote(queue, safe='')}/{quote(job, safe='')}"


class JobListCommand(OperatorCommand):
    """Lists unfinished jobs."""

    name = "job list"
    description = "List jobs that are not finished."

    def run_with(self, client: OperatorClient) -> None:
        """Print all unfinished jobs."""
        job_list = client.get("/v1/jobs", JobList)
        rows = [
            [job.id, job.queue, job.pool, job.team, job.state.value, job.tasks]
            for job in job_list.jobs
        ]
        self.print_table(
            job_list, ["job", "queue", "pool", "team", "state", "tasks"], rows
        )


class JobShowCommand(OperatorCommand):
    """Shows a job."""

    name = "job show"
    description = "Show a job."
    arguments = [argument("queue", "Queue."), argument("job", "Job id.")]

    def run_with(self, client: OperatorClient) -> None:
        """Print the job."""
        path = make_job_path(self.argument("queue"), self.argument("job"))
        job = client.get(path, OperatorJobDocument)
        self.print_table(
            job, ["field", "value"], list(job.model_dump(mode="json").items())
        )


class JobCancelCommand(OperatorCommand):
    """Cancels a job."""

    name = "job cancel"
    description = "Cancel a job; its tasks are stopped."
    arguments = [argument("queue", "Queue."), argument("job", "Job id.")]

    def run_with(self, client: OperatorClient) -> None:
        """Cancel the job."""
        path = make_job_path(self.argument("queue"), self.argument("job"))
        job = client.change("DELETE", path, OperatorJobDocument)
        self.print_result(job, f"job {job.id} is {job.state.value}")
