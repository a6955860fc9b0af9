"""Jobs as callers see them."""

from pydantic import BaseModel

from jujubebarrow.workloads.job_phases import JobPhase


class JobDocument(BaseModel):
    """State of a job.

    Attributes:
        id: Id of the job.
        queue: Queue.
        state: State.
    """

    id: str
    queue: str
    state: JobPhase
