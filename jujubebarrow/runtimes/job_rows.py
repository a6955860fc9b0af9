"""Names of the rows of one job."""

from jujubebarrow.identifiers import JobId, PoolId, QueueId
from jujubebarrow.stores.row_keys import TableName, make_key

CANCELLED_SUFFIX = "/cancelled"
"""Kept beside the job's row, so that one feed brings both in order."""


def job_row(queue: QueueId, job: JobId) -> str:
    """Return the key of the row that makes a job accepted."""
    return make_key(TableName.JOBS, queue, job)


def cancellation_row(queue: QueueId, job: JobId) -> str:
    """Return the key of the row that makes a job cancelled."""
    return make_key(TableName.JOBS, queue, job + CANCELLED_SUFFIX)


def progress_row(queue: QueueId, job: JobId) -> str:
    """Return the key of the row with a job's progress."""
    return make_key(TableName.PROGRESS, queue, job)


def fence_row(queue: QueueId, pool: PoolId) -> str:
    """Return the key of the row that only the owner of a pool can change."""
    return make_key(TableName.FENCES, queue, pool)


def load_row(queue: QueueId, pool: PoolId) -> str:
    """Return the key of the row with the load that a pool has of a queue."""
    return make_key(TableName.LOADS, queue, pool)
