"""Interface to the registrations of the workers, independent of their storage."""

from abc import ABC, abstractmethod

from jujubebarrow.workloads.identifiers import WorkerId
from jujubebarrow.workloads.worker_reports import WorkerEntry


class WorkerListener(ABC):
    """Receives changes of the workers' registrations."""

    @abstractmethod
    def on_worker_changed(self, entry: WorkerEntry) -> None:
        """Apply a new or changed registration."""

    @abstractmethod
    def on_worker_deregistered(self, worker: WorkerId) -> None:
        """Handle a worker that is no longer registered."""


class WorkerSource(ABC):
    """Reports all registrations and their changes to listeners."""

    @abstractmethod
    def add_listener(self, listener: WorkerListener) -> None:
        """Register a listener for all registrations and their changes."""

    @abstractmethod
    def remove_listener(self, listener: WorkerListener) -> None:
        """Stop notifying a listener."""

    @abstractmethod
    def open(self) -> None:
        """Start watching the registrations."""

    @abstractmethod
    async def close(self) -> None:
        """Stop watching the registrations."""
