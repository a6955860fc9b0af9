"""Job as it stands in the table."""

from pydantic import BaseModel

from jujubebarrow.jobs.jobs import Job


class StoredJob(BaseModel):
    """Job with its id and the revision of its row."""

    job_id: str
    job: Job
    revision: int
