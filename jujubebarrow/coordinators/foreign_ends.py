"""Ends of tasks whose jobs may belong to another pool."""

from dataclasses import dataclass

from jujubebarrow.coordinators.job_changes import FinishedRunRef
from jujubebarrow.workloads.task_keys import TaskKey


@dataclass(frozen=True, slots=True)
class ForeignEnd:
    """End of a task whose job this pool's owner does not know.

    The worker has executed a start that was sent to it in its former pool.

    Attributes:
        task: Task that the worker has done.
        finished_run: Entry of the worker's list, not to be acknowledged before the
            owner of the job's pool is certain to see the end.
    """

    task: TaskKey
    finished_run: FinishedRunRef
