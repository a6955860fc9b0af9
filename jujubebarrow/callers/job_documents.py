"""Jobs as callers and operators see them."""

from pydantic import BaseModel

from jujubebarrow.jobs.job_states import JobState
from jujubebarrow.jobs.jobs import Job


class JobDocument(BaseModel):
    """State of a job and, once it has run, the upstream's answer.

    Attributes:
        id: Id of the job.
        queue: Queue.
        state: State.
        attempts: Times that it was started.
        reason: Sentence on its state.
        status: HTTP status of the upstream's answer.
        content_type: Media type of the upstream's answer.
        body: Upstream's answer in Latin-1.
    """

    id: str
    queue: str
    state: JobState
    attempts: int = 0
    reason: str = ""
    status: int | None = None
    content_type: str | None = None
    body: str | None = None


def describe_job(name: str, job: Job) -> JobDocument:
    """Return the document of a job."""
    outcome = job.outcome
    return JobDocument(
        id=name,
        queue=job.queue,
        state=job.state,
        attempts=job.attempts,
        reason=job.reason,
        status=outcome.status if outcome else None,
        content_type=outcome.content_type if outcome else None,
        body=outcome.body if outcome else None,
    )
