"""Callbacks by which the components of a pool's owner report events to the owner."""

from abc import ABC, abstractmethod

from jujubebarrow.coordinators.orders import StopOrder


class OwnerHooks(ABC):
    """Callbacks of a pool's owner, called by the owner's components."""

    @abstractmethod
    def can_send_orders(self) -> bool:
        """Return whether orders may be sent, since the pool certainly is owned."""

    @abstractmethod
    def can_order_machines(self) -> bool:
        """Return whether orders for machines may be sent.

        Not every machine service checks fencing tokens, so that no former owner may
        send orders any more.
        """

    @abstractmethod
    def can_renew_leases(self) -> bool:
        """Return whether leases of runs may still be renewed."""

    @abstractmethod
    def on_change(self) -> None:
        """Schedule a plan, the write of changed jobs and the sending of orders."""

    @abstractmethod
    def on_orphaned_run(self, order: StopOrder) -> None:
        """Stop an orphaned run: a worker runs it, but no owner has a record of it."""
