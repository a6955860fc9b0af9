"""Jobs as operators see them."""

from pydantic import BaseModel

from jujubebarrow.runtimes.job_browsers import JobSummary
from jujubebarrow.workloads.job_phases import JobPhase


class OperatorJobDocument(BaseModel):
    """Accepted job with its present state.

    Attributes:
        id: Id of the job.
        queue: Queue.
        pool: Pool that runs it.
        team: Team; empty on a queue open to all.
        state: State.
        accepted: Unix time of the acceptance in seconds.
        tasks: Number of its tasks.
    """

    id: str
    queue: str
    pool: str
    team: str
    state: JobPhase
    accepted: float
    tasks: int


class JobList(BaseModel):
    """Jobs that are not finished."""

    jobs: list[OperatorJobDocument]


def describe_summary(job: JobSummary) -> OperatorJobDocument:
    """Return the document of a job."""
    return OperatorJobDocument(
        id=job.job,
        queue=job.queue,
        pool=job.pool,
        team=job.team,
        state=job.phase,
        accepted=job.accepted,
        tasks=job.tasks,
    )
