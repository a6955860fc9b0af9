"""Interface to the registrations of the workers, wherever they are kept."""

from abc import ABC, abstractmethod

from jujubebarrow.workloads.identifiers import WorkerId
from jujubebarrow.workloads.worker_reports import WorkerEntry


class WorkerListener(ABC):
    """Takes changes of the registrations."""

    @abstractmethod
    def on_worker(self, entry: WorkerEntry) -> None:
        """Take over a registration."""

    @abstractmethod
    def on_worker_gone(self, worker: WorkerId) -> None:
        """Note that a worker is no longer registered."""


class WorkerSource(ABC):
    """Tells listeners of all registrations and their changes."""

    @abstractmethod
    def listen(self, listener: WorkerListener) -> None:
        """Tell a listener of all registrations and their changes."""

    @abstractmethod
    def unlisten(self, listener: WorkerListener) -> None:
        """Tell a listener nothing more."""

    @abstractmethod
    def open(self) -> None:
        """Start to follow the registrations."""

    @abstractmethod
    async def close(self) -> None:
        """Stop to follow them."""
