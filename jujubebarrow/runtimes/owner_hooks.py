"""What the owner of a pool does when its parts notice something."""

from abc import ABC, abstractmethod

from jujubebarrow.coordinators.orders import StopOrder


class OwnerHooks(ABC):
    """Called by the parts of a pool's owner."""

    @abstractmethod
    def may_hold(self) -> bool:
        """Return whether leases of tasks may still be extended."""

    @abstractmethod
    def on_change(self) -> None:
        """Plan and store again, as something has changed."""

    @abstractmethod
    def on_stray(self, order: StopOrder) -> None:
        """Stop a run that nobody has on record."""

    @abstractmethod
    def on_displaced(self) -> None:
        """Stop at once, as another instance owns the pool."""
