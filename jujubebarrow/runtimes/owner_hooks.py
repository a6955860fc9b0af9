"""Callbacks by which the parts of a pool's owner report events to the owner."""

from abc import ABC, abstractmethod

from jujubebarrow.coordinators.orders import StopOrder


class OwnerHooks(ABC):
    """Callbacks of a pool's owner, called by the owner's parts."""

    @abstractmethod
    def can_renew_leases(self) -> bool:
        """Return whether leases of runs may still be renewed."""

    @abstractmethod
    def on_change(self) -> None:
        """Schedule a plan and a write of changed jobs."""

    @abstractmethod
    def on_orphaned_run(self, order: StopOrder) -> None:
        """Stop an orphaned run: a worker runs it, but no owner has it on record."""

    @abstractmethod
    def on_superseded(self) -> None:
        """Stop at once, because another instance owns the pool."""
