"""Interface to other instances that send start orders for this one."""

from abc import ABC, abstractmethod

from jujubebarrow.coordinators.order_results import OrderResult
from jujubebarrow.coordinators.orders import StartOrder
from jujubebarrow.errors.exceptions import JujubebarrowError


class StartsNotRelayedError(JujubebarrowError):
    """No start order was relayed, and none will be."""


class StartRelay(ABC):
    """Sends the start orders of a job through another instance.

    The payload of the job then passes this instance's link once for all its tasks.
    """

    @property
    @abstractmethod
    def is_available(self) -> bool:
        """Whether an instance is known that may relay orders."""

    @abstractmethod
    async def start(self, orders: list[StartOrder]) -> list[OrderResult]:
        """Relay start orders of one job and return their results in the same order.

        An order of which the outcome is unknown has the outcome ``UNACKNOWLEDGED``.

        Raises:
            StartsNotRelayedError: Certainly none of the orders was sent.
        """
