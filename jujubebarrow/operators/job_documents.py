"""Open jobs as operators see them."""

from pydantic import BaseModel

from jujubebarrow.callers.job_documents import JobDocument


class JobList(BaseModel):
    """Open jobs."""

    jobs: list[JobDocument]
