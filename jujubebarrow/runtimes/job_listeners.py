"""Interface for receivers of job changes."""

from abc import ABC, abstractmethod

from jujubebarrow.identifiers import JobId, QueueId
from jujubebarrow.workloads.job_records import JobRecord


class JobListener(ABC):
    """Receives accepted and cancelled jobs."""

    @abstractmethod
    def on_job(self, record: JobRecord) -> None:
        """Handle an accepted job."""

    @abstractmethod
    def on_cancelled(self, queue: QueueId, job: JobId) -> None:
        """Handle the cancellation of a job."""

    @abstractmethod
    def on_history_lost(self) -> None:
        """Read all jobs again, because the change feed has skipped some changes."""
