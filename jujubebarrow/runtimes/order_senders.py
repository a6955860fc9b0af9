"""Sends orders to workers; repeats starts and stops until the outcome is known."""

from asyncio import sleep
from collections.abc import Callable

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.active_runs import ActiveRun, RunStage
from jujubebarrow.coordinators.order_results import OrderOutcome
from jujubebarrow.coordinators.orders import StopOrder
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.gateways.worker_gateways import WorkerGateway
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.owned_tasks import OwnedTasks

FIRST_RETRY_SECONDS = 0.02
"""Seconds before the first retry of an unacknowledged start order; short, because two
messages in a row are rarely lost."""
RETRY_SECONDS = 0.4
"""Longest delay between two attempts of a start, and the delay between two attempts of
a stop."""
LATE_START_SECONDS = 13.0
"""Seconds for which a worker may still execute a delayed start order, by the workers'
contract."""
SEND_RETRY_SECONDS = 0.1
"""Seconds before the next attempt to send a start that can't be sent yet, and between
two stop orders against a delayed start."""


class OrderSender:
    """Sends the orders that the coordinator has released.

    Args:
        coordinator: Makes the scheduling decisions of the pool.
        gateway: Sends orders to the workers.
        tasks: Runs background tasks until the owner closes.
        can_send_orders: Returns whether this instance certainly owns the pool.
        on_change: Called when the result of an order may allow a new plan.
        clock: Time source.
        log: Decision log.
        metrics: Registry of the counters and latencies.
    """

    def __init__(
        self,
        coordinator: PoolCoordinator,
        gateway: WorkerGateway,
        tasks: OwnedTasks,
        can_send_orders: Callable[[], bool],
        on_change: Callable[[], None],
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        self._coordinator = coordinator
        self._gateway = gateway
        self._tasks = tasks
        self._can_send_orders = can_send_orders
        self._on_change = on_change
        self._clock = clock
        self._log = log
        self._metrics = metrics

    def send_released(self) -> None:
        """Start sending all released orders."""
        for run in self._coordinator.orders.pop_starts():
            self._tasks.start(self._send_start(run))
        for run in self._coordinator.orders.pop_stops():
            self._tasks.start(self._send_stop(run))
        for run in self._coordinator.orders.pop_speed_changes():
            self._tasks.start(self._send_throttle(run))

        for order in self._coordinator.orders.pop_late_start_stops():
            self._tasks.start(self._send_late_stop(order))

    async def _send_late_stop(self, order: StopOrder) -> None:
        """Repeat a stop order until the worker accepts or fences the order.

        The repetition ends as well when no delayed start can take effect any more.
        """
        deadline = self._clock.monotonic() + LATE_START_SECONDS
        while self._clock.monotonic() < deadline:
            result = await self._gateway.stop(order)
            self._metrics.count("stop_late", result.outcome.value)
            if result.outcome in (OrderOutcome.ACCEPTED, OrderOutcome.FENCED):
                return
            await sleep(SEND_RETRY_SECONDS)

    async def _send_throttle(self, run: ActiveRun) -> None:
        order = self._coordinator.orders.make_throttle(run)
        if order is None:
            return
        # An unacknowledged throttle order is not repeated, because the speed is decided
        # anew after the next lease renewal.
        result = await self._gateway.throttle(order)
        self._metrics.count("pace", result.outcome.value)
        if result.outcome is OrderOutcome.ACCEPTED:
            run.speed_percent = order.percent
            self._log.write(
                "pace_set",
                task=str(run.task),
                worker=run.worker,
                percent=run.speed_percent,
            )

    async def _send_start(self, run: ActiveRun) -> None:
        while run.stage is RunStage.RECORDED:
            if not self._can_send_orders():
                await sleep(SEND_RETRY_SECONDS)
                continue
            sent_at = self._clock.monotonic()
            order = self._coordinator.orders.make_start(run, sent_at)
            if order is None:
                if not self._coordinator.orders.is_active(run):
                    return
                await sleep(SEND_RETRY_SECONDS)
                continue
            run.is_start_sent = True
            result = await self._gateway.start(order)
            now = self._clock.monotonic()
            self._metrics.count("start", result.outcome.value)
            self._metrics.record_latency("", "start-task", now - sent_at)
            self._coordinator.orders.handle_start_result(run, result, sent_at, now)
            if (
                result.outcome is not OrderOutcome.ACCEPTED
                and run.unacknowledged_starts <= 1
            ):
                self._log.write(
                    "start_unconfirmed",
                    task=str(run.task),
                    run=run.run,
                    worker=run.worker,
                    outcome=result.outcome.value,
                    detail=result.detail,
                    unanswered=run.unacknowledged_starts,
                )
            if result.outcome is not OrderOutcome.ACCEPTED:
                self._on_change()
            if run.stage is RunStage.RECORDED:
                delay = FIRST_RETRY_SECONDS * 4 ** max(0, run.unacknowledged_starts - 1)
                await sleep(min(RETRY_SECONDS, delay))

    async def _send_stop(self, run: ActiveRun) -> None:
        while True:
            order = self._coordinator.orders.make_stop(run)
            if order is None or run.stage is not RunStage.STOPPING:
                return
            result = await self._gateway.stop(order)
            self._metrics.count("stop", result.outcome.value)
            if self._coordinator.orders.handle_stop_result(
                run, result, self._clock.monotonic()
            ):
                self._on_change()
                return
            await sleep(RETRY_SECONDS)

    def send_orphan_stop(self, order: StopOrder) -> None:
        """Stop an orphaned run: a worker runs it, but no owner has a record of it."""
        self._tasks.start(self._send_stop_once(order))

    async def _send_stop_once(self, order: StopOrder) -> None:
        result = await self._gateway.stop(order)
        self._metrics.count("stop_stray", result.outcome.value)
