"""Interface for receivers of accepted jobs and of changes by other instances."""

from abc import ABC, abstractmethod

from jujubebarrow.identifiers import JobId, QueueId
from jujubebarrow.workloads.job_records import JobRecord
from jujubebarrow.workloads.task_keys import TaskKey


class JobListener(ABC):
    """Receives the jobs that any instance accepts or cancels."""

    @abstractmethod
    def on_job_accepted(self, record: JobRecord) -> None:
        """Handle an accepted job."""

    @abstractmethod
    def on_job_cancelled(self, queue: QueueId, job: JobId) -> None:
        """Handle the cancellation of a job."""

    @abstractmethod
    def on_task_done_elsewhere(self, task: TaskKey) -> None:
        """Handle the end of a task that a worker of another pool has done."""

    @abstractmethod
    def on_history_lost(self) -> None:
        """Read all jobs again, because the change feed has skipped some changes."""
