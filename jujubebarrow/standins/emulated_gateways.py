"""Way from one instance to emulated workers, with delays and faults."""

from asyncio import get_running_loop, sleep
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
from jujubebarrow.standins.emulated_workers import EmulatedWorker
from jujubebarrow.workloads.identifiers import WorkerId
from jujubebarrow.workloads.worker_reports import RenewalReport

DELAY = 0.002
"""Seconds one way."""
TIMEOUT = 0.6
"""Seconds until an order counts as unanswered."""
LATE_RANGE = (2.0, 12.0)
"""Seconds after which a late order is carried out."""


class EmulatedGateway(WorkerGateway):
    """One instance's view of the workers.

    Args:
        workers: All workers.
        random: Source of delays.
    """

    def __init__(self, workers: dict[WorkerId, EmulatedWorker], random: Random):
        self._workers = workers
        self._random = random
        self.unreachable: set[WorkerId] = set()
        self.is_cut = False
        self.lost_holds = 0

    def _reaches(self, worker: EmulatedWorker) -> bool:
        cut = self.is_cut or worker.worker in self.unreachable
        return worker.is_up and not cut

    async def _order(
        self, worker: EmulatedWorker, carry_out: Callable[[], OrderResult]
    ) -> OrderResult:
        await sleep(DELAY)
        if not self._reaches(worker):
            await sleep(TIMEOUT)
            return OrderResult(OrderOutcome.UNACKNOWLEDGED)
        fault = worker.draw_fault()
        if fault == "late":
            delay = self._random.uniform(*LATE_RANGE)
            get_running_loop().call_later(delay, _carry_out_late, worker, carry_out)
        elif fault == "lost":
            carry_out()
        if fault:
            await sleep(TIMEOUT)
            return OrderResult(OrderOutcome.UNACKNOWLEDGED)
        result = carry_out()
        await sleep(DELAY)
        return result

    async def start(self, order: StartOrder) -> OrderResult:
        """Start a run."""
        worker = self._workers[order.worker]
        return await self._order(worker, lambda: worker.start(order))

    async def stop(self, order: StopOrder) -> OrderResult:
        """Stop a run."""
        worker = self._workers[order.worker]
        return await self._order(worker, lambda: worker.stop(order))

    async def throttle(self, order: ThrottleOrder) -> OrderResult:
        """Set the share of its speed at which a run works."""
        worker = self._workers[order.worker]
        return await self._order(worker, lambda: worker.pace(order))

    async def renew_lease(self, order: RenewalOrder) -> RenewalReport:
        """Extend the lease and return the lists of runs and ends."""
        worker = self._workers[order.worker]
        given_up_at = get_running_loop().time() + order.wait + TIMEOUT
        await sleep(DELAY)
        if not self._reaches(worker):
            await sleep(TIMEOUT)
            raise WorkerSilentError("unreachable")
        report = await worker.hold(order)
        await sleep(DELAY)
        if not self._reaches(worker):
            await sleep(TIMEOUT)
            raise WorkerSilentError("unreachable")
        if self.lost_holds:
            self.lost_holds -= 1
            await sleep(given_up_at - get_running_loop().time())
            raise WorkerSilentError("answer lost")
        if report is None:
            raise WorkerFencedError(order.worker)
        return report


def _carry_out_late(
    worker: EmulatedWorker, carry_out: Callable[[], OrderResult]
) -> None:
    if worker.is_up:
        carry_out()
