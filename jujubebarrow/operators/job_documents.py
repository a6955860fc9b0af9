"""Documents that describe jobs to operators."""

from pydantic import BaseModel

from jujubebarrow.runtimes.job_browsers import JobSummary
from jujubebarrow.workloads.job_phases import JobPhase


class OperatorJobDocument(BaseModel):
    """Accepted job with its current phase.

    Attributes:
        id: Id of the job.
        queue: Queue to which the job was submitted.
        pool: Pool whose workers run the job.
        team: Team that submitted the job; empty on an open queue.
        state: Current phase of the job.
        accepted: Unix time in seconds at which the job was accepted.
        tasks: Number of tasks in one occurrence of the job.
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


def make_job_document(job: JobSummary) -> OperatorJobDocument:
    """Return the operators' document of a job."""
    return OperatorJobDocument(
        id=job.job,
        queue=job.queue,
        pool=job.pool,
        team=job.team,
        state=job.phase,
        accepted=job.accepted,
        tasks=job.tasks,
    )
