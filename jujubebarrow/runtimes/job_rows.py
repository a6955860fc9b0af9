"""Keys of the rows of jobs and of the pools that run them."""

from jujubebarrow.identifiers import JobId, PoolId, QueueId
from jujubebarrow.stores.row_keys import TableName, make_key

CANCELLED_SUFFIX = "/cancelled"
"""Suffix of the cancellation's row, which stands in the same table as the job's row so
that one change feed delivers both in order."""


def job_row(queue: QueueId, job: JobId) -> str:
    """Return the key of the row whose existence marks a job as accepted."""
    return make_key(TableName.JOBS, queue, job)


def cancellation_row(queue: QueueId, job: JobId) -> str:
    """Return the key of the row whose existence marks a job as cancelled."""
    return make_key(TableName.JOBS, queue, job + CANCELLED_SUFFIX)


def progress_row(queue: QueueId, job: JobId) -> str:
    """Return the key of the row with a job's progress."""
    return make_key(TableName.PROGRESS, queue, job)


def fence_row(queue: QueueId, pool: PoolId) -> str:
    """Return the key of a fence, a row that only the present owner can change."""
    return make_key(TableName.FENCES, queue, pool)


def load_row(queue: QueueId, pool: PoolId) -> str:
    """Return the key of the row with the load that a queue causes in a pool."""
    return make_key(TableName.LOADS, queue, pool)
