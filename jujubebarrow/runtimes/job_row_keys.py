"""Keys of the rows of jobs, fences and loads."""

from jujubebarrow.identifiers import JobId, PoolId, QueueId, TeamId
from jujubebarrow.stores.row_keys import TableName, make_key
from jujubebarrow.workloads.task_keys import TaskKey

CANCELLED_SUFFIX = "/cancelled"
"""Suffix of the key of a cancellation's row. The row is in the same table as the job's
row, so that one change feed delivers both rows in order."""

END_MARK = "/done/"
"""Part of the name of a row by which the owner of another pool reports that a worker
there has done a task of a job. The row is in the same table as the job's row."""

USED_SUFFIX = "/used"
"""Suffix of the keys of the rows that mark a pool as having had a job of a queue."""


def make_job_key(queue: QueueId, job: JobId) -> str:
    """Return the key of the row whose existence marks a job as accepted."""
    return make_key(TableName.JOBS, queue, job)


def make_cancellation_key(queue: QueueId, job: JobId) -> str:
    """Return the key of the row whose existence marks a job as cancelled."""
    return make_key(TableName.JOBS, queue, job + CANCELLED_SUFFIX)


def make_unknown_cancellation_key(queue: QueueId, job: JobId, team: TeamId) -> str:
    """Return the key of the row by which a team has cancelled a job that is not stored.

    The row keeps a late submission of that team from being stored; it is in the same
    partition as the job's row, so that one transaction can require its absence.
    """
    return make_key(TableName.CANCELLATIONS, queue, f"{job}/{team}")


def make_end_key(queue: QueueId, task: TaskKey) -> str:
    """Return the key of the row by which another pool's owner reports a task's end."""
    name = f"{task.job}{END_MARK}{task.occurrence}.{task.step}.{task.index}"
    return make_key(TableName.JOBS, queue, name)


def parse_end_name(name: str) -> TaskKey | None:
    """Return the task that a row reports as done; None for any other row.

    Args:
        name: Name of a row in the jobs' table.
    """
    job, mark, indexes = name.rpartition(END_MARK)
    parts = indexes.split(".")
    if not mark or len(parts) != 3 or not all(part.isdecimal() for part in parts):
        return None
    occurrence, step, index = map(int, parts)
    return TaskKey(JobId(job), occurrence, step, index)


def is_job_name(name: str) -> bool:
    """Return whether a row in the jobs' table is that of a job.

    Args:
        name: Name of the row.
    """
    return not name.endswith(CANCELLED_SUFFIX) and parse_end_name(name) is None


def make_progress_key(queue: QueueId, job: JobId) -> str:
    """Return the key of the row with a job's progress."""
    return make_key(TableName.PROGRESS, queue, job)


def make_fence_key(queue: QueueId, pool: PoolId) -> str:
    """Return the key of a fence, a row that only the present owner can change.

    A queue has one fence for each pool that runs jobs of the queue.
    """
    return make_key(TableName.FENCES, queue, pool)


def make_use_key(queue: QueueId, pool: PoolId) -> str:
    """Return the key of the row that marks a pool as having had a job of a queue.

    The row is in the same table and partition as the queue's fences, so that one read
    returns both.
    """
    return make_key(TableName.FENCES, queue, pool + USED_SUFFIX)


def make_load_key(queue: QueueId, pool: PoolId) -> str:
    """Return the key of the row with the number of a queue's pending jobs in a pool."""
    return make_key(TableName.LOADS, queue, pool)


def make_load_use_key(queue: QueueId, pool: PoolId) -> str:
    """Return the key of the row that marks a report of a pool's load as expected.

    The row is stored with that of ``make_use_key``, in the same table and partition as
    the reports, so that one read returns both.
    """
    return make_key(TableName.LOADS, queue, pool + USED_SUFFIX)
