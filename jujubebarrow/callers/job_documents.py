"""JSON document with the state of a job for callers."""

from pydantic import BaseModel

from jujubebarrow.workloads.job_phases import JobPhase


class JobDocument(BaseModel):
    """State of a job, sent to callers.

    Attributes:
        id: Id of the job.
        queue: Name of the queue that accepted the job.
        state: Phase of the job.
    """

    id: str
    queue: str
    state: JobPhase
