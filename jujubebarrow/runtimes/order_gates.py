"""Permission to send an order for a machine."""

from asyncio import Semaphore
from collections.abc import Awaitable, Callable
from typing import TypeVar

from jujubebarrow.metrics.registries import MetricsRegistry

CONCURRENT_ORDERS_COUNT = 8
"""Orders of an instance in progress at a time; more would wait in the client of the
machine service after the permission was checked."""

Result = TypeVar("Result")


class OrderGate:
    """Sends orders for machines, each only if it is permitted when its turn comes.

    An order may have to wait for others while the machine service is slow, and the
    process may be suspended. Fencing tokens do not help where the machine service does
    not check them.

    Args:
        metrics: Registry of the counters.
    """

    def __init__(self, metrics: MetricsRegistry):
        self._metrics = metrics
        self._semaphore = Semaphore(CONCURRENT_ORDERS_COUNT)

    async def send(
        self,
        is_permitted: Callable[[], bool],
        call: Callable[[], Awaitable[Result]],
    ) -> Result | None:
        """Send an order; return None if it was not permitted any more.

        Args:
            is_permitted: Returns whether the order may be sent now.
            call: Sends the order.
        """
        async with self._semaphore:
            if not is_permitted():
                self._metrics.count("machine_order_unpermitted")
                return None
            return await call()
