"""Interface for receivers of accepted and cancelled jobs."""

from abc import ABC, abstractmethod

from jujubebarrow.identifiers import JobId, QueueId
from jujubebarrow.workloads.job_records import JobRecord


class JobListener(ABC):
    """Receives the jobs that any instance accepts or cancels."""

    @abstractmethod
    def on_job_accepted(self, record: JobRecord) -> None:
        """Handle an accepted job."""

    @abstractmethod
    def on_job_cancelled(self, queue: QueueId, job: JobId) -> None:
        """Handle the cancellation of a job."""

    @abstractmethod
    def on_history_lost(self) -> None:
        """Read all jobs again, because the change feed has skipped some changes."""
