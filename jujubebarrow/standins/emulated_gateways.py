"""Connection of one instance to the emulated workers, with delays and faults."""

from asyncio import Event, get_running_loop, sleep
from collections.abc import Callable
from random import Random

from jujubebarrow.coordinators.order_results import OrderOutcome, OrderResult
from jujubebarrow.coordinators.orders import (
    RenewalOrder,
    StartOrder,
    StopOrder,
    ThrottleOrder,
)
from jujubebarrow.gateways.worker_gateways import (
    WorkerFencedError,
    WorkerGateway,
    WorkerSilentError,
)
from jujubebarrow.links.link_backlogs import LinkBacklog
from jujubebarrow.standins.emulated_workers import EmulatedWorker
from jujubebarrow.workloads.identifiers import WorkerId
from jujubebarrow.workloads.worker_reports import RenewalReport

ONE_WAY_DELAY_SECONDS = 0.002
RESPONSE_TIMEOUT_SECONDS = 0.6
"""Time without a response after which an order is unacknowledged or a renewal fails."""
LINK_TIMEOUT_SECONDS = 0.25
"""Time on the instance's link after which an order is unacknowledged; it still arrives.
"""
MESSAGE_BYTES = 330
"""Size of an order without its payload."""
LATE_EXECUTION_RANGE_SECONDS = (2.0, 12.0)
"""Range of the delay after which a worker executes a late order."""


class EmulatedGateway(WorkerGateway):
    """Sends one instance's orders to the emulated workers.

    Args:
        workers: All emulated workers by their ids.
        random: Random generator for the delays of late orders.
        backlog: Gets all messages but starts; None without a limited link.

    Attributes:
        unreachable: Ids of the workers that this instance cannot reach.
        is_disconnected: Whether this instance can reach no worker.
        pending_renewal_loss_count: Number of upcoming renewals whose response will be
            lost.
        extra_delay_seconds: Additional delay of each lease renewal in seconds.
        is_running: Cleared while the instance gets no processor time, so that it sends
            no message and takes note of no response.
        link_bytes_per_second: Rate at which the instance's link carries orders and
            renewals, one after the other.
        sent_start_count: Number of start orders sent.
        sent_bytes: Size of all messages that the link has carried or carries.
    """

    def __init__(
        self,
        workers: dict[WorkerId, EmulatedWorker],
        random: Random,
        backlog: LinkBacklog | None = None,
    ):
        self._workers = workers
        self._random = random
        self._backlog = backlog
        self.unreachable: set[WorkerId] = set()
        self.is_disconnected = False
        self.pending_renewal_loss_count = 0
        self.extra_delay_seconds = 0.0
        self.is_running = Event()
        self.is_running.set()
        self.link_bytes_per_second = float("inf")
        self.sent_start_count = 0
        self.sent_bytes = 0
        self._link_free_at = 0.0

    def put_on_link(self, size_bytes: int, is_start: bool = False) -> float:
        """Return the seconds until a message has passed the link."""
        if self._backlog is not None and not is_start:
            self._backlog.add(size_bytes)
        self.sent_bytes += size_bytes
        now = get_running_loop().time()
        self._link_free_at = max(now, self._link_free_at)
        self._link_free_at += size_bytes / self.link_bytes_per_second
        return self._link_free_at - now

    def _is_reachable(self, worker: EmulatedWorker) -> bool:
        is_disconnected = self.is_disconnected or worker.worker in self.unreachable
        return worker.is_up and not is_disconnected

    async def _send_order(
        self,
        worker: EmulatedWorker,
        execute: Callable[[], OrderResult],
        payload_bytes: int = 0,
        execute_late: Callable[[], OrderResult] | None = None,
    ) -> OrderResult:
        await self.is_running.wait()
        result = await self._deliver_order(
            worker, execute, payload_bytes, execute_late or execute
        )
        await self.is_running.wait()
        return result

    async def _deliver_order(
        self,
        worker: EmulatedWorker,
        execute: Callable[[], OrderResult],
        payload_bytes: int,
        execute_late: Callable[[], OrderResult],
    ) -> OrderResult:
        link_seconds = self.put_on_link(
            MESSAGE_BYTES + payload_bytes, is_start=payload_bytes > 0
        )
        if link_seconds > LINK_TIMEOUT_SECONDS:
            get_running_loop().call_later(link_seconds, _execute_if_up, worker, execute)
            await sleep(LINK_TIMEOUT_SECONDS)
            return OrderResult(OrderOutcome.UNACKNOWLEDGED, None, "timeout")
        await sleep(ONE_WAY_DELAY_SECONDS + link_seconds)
        if not self._is_reachable(worker):
            await sleep(RESPONSE_TIMEOUT_SECONDS)
            return OrderResult(OrderOutcome.UNACKNOWLEDGED)
        fault = worker.draw_order_fault()
        if fault == "late":
            delay_seconds = self._random.uniform(*LATE_EXECUTION_RANGE_SECONDS)
            get_running_loop().call_later(
                delay_seconds, _execute_if_up, worker, execute_late
            )
        elif fault == "lost":
            execute()
        if fault:
            await sleep(RESPONSE_TIMEOUT_SECONDS)
            return OrderResult(OrderOutcome.UNACKNOWLEDGED)
        result = execute()
        await sleep(ONE_WAY_DELAY_SECONDS)
        return result

    async def start(self, order: StartOrder) -> OrderResult:
        """Order a worker to start a run."""
        worker = self._workers[order.worker]
        self.sent_start_count += 1
        sent_at = get_running_loop().time()
        sent_clock = worker.clock
        return await self._send_order(
            worker,
            lambda: worker.start(order, sent_at),
            len(order.payload),
            lambda: worker.start(worker.postpone_deadline(order, sent_clock), sent_at),
        )

    async def stop(self, order: StopOrder) -> OrderResult:
        """Order a worker to stop a run."""
        worker = self._workers[order.worker]
        return await self._send_order(worker, lambda: worker.stop(order))

    async def throttle(self, order: ThrottleOrder) -> OrderResult:
        """Throttle a run to a percentage of its full speed."""
        worker = self._workers[order.worker]
        return await self._send_order(worker, lambda: worker.throttle(order))

    async def renew_lease(self, order: RenewalOrder) -> RenewalReport:
        """Renew the lease; return the lists of active and finished runs.

        Raises:
            WorkerSilentError: The worker is unreachable or its response was lost.
            WorkerFencedError: The worker has seen a higher token.
        """
        await self.is_running.wait()
        try:
            return await self._deliver_renewal(order)
        finally:
            await self.is_running.wait()

    async def _deliver_renewal(self, order: RenewalOrder) -> RenewalReport:
        worker = self._workers[order.worker]
        sent_clock = worker.clock
        timeout_at = get_running_loop().time() + order.wait + RESPONSE_TIMEOUT_SECONDS
        link_seconds = self.put_on_link(MESSAGE_BYTES)
        if link_seconds > order.wait + RESPONSE_TIMEOUT_SECONDS:
            await sleep(order.wait + RESPONSE_TIMEOUT_SECONDS)
            raise WorkerSilentError(f"renewal for worker {order.worker} timed out")
        await sleep(ONE_WAY_DELAY_SECONDS + self.extra_delay_seconds + link_seconds)
        if not self._is_reachable(worker):
            await sleep(RESPONSE_TIMEOUT_SECONDS)
            raise WorkerSilentError(f"worker {order.worker} is unreachable")
        if worker.draw_late_renewal():
            delay_seconds = self._random.uniform(*LATE_EXECUTION_RANGE_SECONDS)
            get_running_loop().call_later(
                delay_seconds,
                _execute_if_up,
                worker,
                lambda: worker.apply_renewal(
                    worker.postpone_deadline(order, sent_clock)
                ),
            )
            await sleep(timeout_at - get_running_loop().time())
            raise WorkerSilentError(f"renewal for worker {order.worker} timed out")
        report = await worker.renew_lease(order)
        await sleep(ONE_WAY_DELAY_SECONDS)
        if not self._is_reachable(worker):
            await sleep(RESPONSE_TIMEOUT_SECONDS)
            raise WorkerSilentError(f"worker {order.worker} is unreachable")
        if self.pending_renewal_loss_count:
            self.pending_renewal_loss_count -= 1
            await sleep(timeout_at - get_running_loop().time())
            raise WorkerSilentError(f"response of worker {order.worker} was lost")
        if report is None:
            raise WorkerFencedError(order.worker)
        return report


def _execute_if_up(worker: EmulatedWorker, execute: Callable[[], object]) -> None:
    if worker.is_up:
        execute()
