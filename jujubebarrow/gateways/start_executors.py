"""Sends start orders on behalf of another instance."""

from asyncio import gather, get_running_loop, sleep
from collections import defaultdict

from jujubebarrow.coordinators.order_results import OrderOutcome, OrderResult
from jujubebarrow.coordinators.orders import StartOrder
from jujubebarrow.coordinators.start_queues import (
    LINK_POLL_SECONDS,
    LINK_WAIT_SECONDS,
)
from jujubebarrow.gateways.start_relays import StartsNotRelayedError
from jujubebarrow.gateways.worker_gateways import WorkerGateway
from jujubebarrow.links.link_backlogs import LinkBacklog
from jujubebarrow.links.message_sizes import estimate_start_bytes
from jujubebarrow.workloads.identifiers import WorkerId

OCCUPIED_WAIT_SECONDS = 0.1
"""Wait on this instance's link from which on orders of others are rejected."""
SENDING_LIMIT_SECONDS = 0.8
"""Time after which no further order of a call is sent. The caller has given up by then
and counts the orders as sent when it made the call."""


class StartExecutor:
    """Sends start orders of other instances while this instance's link has room.

    Orders for one worker are sent one after the other, on one connection.

    Args:
        gateway: Sends orders to the workers.
        backlog: Estimates what waits on this instance's link.
    """

    def __init__(self, gateway: WorkerGateway, backlog: LinkBacklog):
        self._gateway = gateway
        self._backlog = backlog
        # Size of the orders that have not been sent yet.
        self._waiting_bytes = 0

    async def start(self, orders: list[StartOrder]) -> list[OrderResult]:
        """Send start orders and return their results in the same order.

        Raises:
            StartsNotRelayedError: The link has no room; no order was sent.
        """
        wait = self._backlog.wait_seconds + self._backlog.compute_transfer_seconds(
            self._waiting_bytes
        )
        if wait > OCCUPIED_WAIT_SECONDS:
            raise StartsNotRelayedError(f"link is occupied for {wait:.3f} s")
        for order in orders:
            self._waiting_bytes += estimate_start_bytes(order.payload)
        last_sending_at = get_running_loop().time() + SENDING_LIMIT_SECONDS
        results: dict[int, OrderResult] = {}
        positions: dict[WorkerId, list[int]] = defaultdict(list)
        for position, order in enumerate(orders):
            positions[order.worker].append(position)

        async def send(worker_positions: list[int]) -> None:
            for position in worker_positions:
                order = orders[position]
                await self._wait_for_link()
                size = estimate_start_bytes(order.payload)
                self._waiting_bytes -= size
                if get_running_loop().time() >= last_sending_at:
                    results[position] = OrderResult(OrderOutcome.UNREACHED)
                    continue
                self._backlog.add(size)
                results[position] = await self._gateway.start(order)

        await gather(*(send(items) for items in positions.values()))
        return [results[position] for position in range(len(orders))]

    async def _wait_for_link(self) -> None:
        while (wait := self._backlog.wait_seconds) > LINK_WAIT_SECONDS:
            await sleep(max(LINK_POLL_SECONDS, wait - LINK_WAIT_SECONDS))
