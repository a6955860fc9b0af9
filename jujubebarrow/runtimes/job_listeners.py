"""Interface for what follows accepted jobs."""

from abc import ABC, abstractmethod

from jujubebarrow.identifiers import JobId, QueueId
from jujubebarrow.workloads.job_records import JobRecord


class JobListener(ABC):
    """Takes accepted and cancelled jobs."""

    @abstractmethod
    def on_job(self, record: JobRecord) -> None:
        """Take over an accepted job."""

    @abstractmethod
    def on_cancelled(self, queue: QueueId, job: JobId) -> None:
        """Note that a caller has cancelled a job."""

    @abstractmethod
    def on_history_lost(self) -> None:
        """Read all jobs anew; some changes were not told."""
