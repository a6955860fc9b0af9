"""Sends starts and stops until their outcome is known."""

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
from jujubebarrow.runtimes.task_groups import OwnedTasks

FIRST_RETRY_SECONDS = 0.02
"""Pause before an order without an answer is sent again; most are lost singly."""
RETRY_SECONDS = 0.4
"""Longest pause, after several attempts."""
LATE_SECONDS = 13.0
"""Seconds for which a start may be carried out late; from the workers' contract."""
WAIT_SECONDS = 0.1
"""Pause while an order can't be sent yet."""


class OrderSender:
    """Sends the orders that the coordinator has released.

    Args:
        coordinator: Decisions on the pool.
        gateway: Workers.
        tasks: Owner of running tasks.
        may_order: Returns whether this instance certainly owns the pool.
        on_change: Called when an answer may allow further plans.
        clock: Time source.
        log: Log of decisions.
        metrics: Counters.
    """

    def __init__(
        self,
        coordinator: PoolCoordinator,
        gateway: WorkerGateway,
        tasks: OwnedTasks,
        may_order: Callable[[], bool],
        on_change: Callable[[], None],
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        self._coordinator = coordinator
        self._gateway = gateway
        self._tasks = tasks
        self._may_order = may_order
        self._on_change = on_change
        self._clock = clock
        self._log = log
        self._metrics = metrics

    def send_released(self) -> None:
        """Begin to send all released orders."""
        for run in self._coordinator.orders.take_starts():
            self._tasks.start(self._send_start(run))
        for run in self._coordinator.orders.take_stops():
            self._tasks.start(self._send_stop(run))
        for run in self._coordinator.orders.take_paces():
            self._tasks.start(self._send_pace(run))

        for order in self._coordinator.orders.take_late_stops():
            self._tasks.start(self._send_late_stop(order))

    async def _send_late_stop(self, order: StopOrder) -> None:
        """Send a stop until it is answered or the start can't come any more."""
        until = self._clock.monotonic() + LATE_SECONDS
        while self._clock.monotonic() < until:
            result = await self._gateway.stop(order)
            self._metrics.count("stop_late", result.outcome.value)
            if result.outcome in (OrderOutcome.ACCEPTED, OrderOutcome.FENCED):
                return
            await sleep(WAIT_SECONDS)

    async def _send_pace(self, run: ActiveRun) -> None:
        order = self._coordinator.orders.make_pace(run)
        if order is None:
            return
        # An order without an answer is decided anew at the next look.
        result = await self._gateway.pace(order)
        self._metrics.count("pace", result.outcome.value)
        if result.outcome is OrderOutcome.ACCEPTED:
            run.pace = order.percent
            self._log.write(
                "pace_set", task=str(run.task), worker=run.worker, percent=run.pace
            )

    async def _send_start(self, run: ActiveRun) -> None:
        while run.stage is RunStage.RECORDED:
            if not self._may_order():
                await sleep(WAIT_SECONDS)
                continue
            sent_at = self._clock.monotonic()
            order = self._coordinator.orders.make_start(run, sent_at)
            if order is None:
                if not self._coordinator.orders.is_active(run):
                    return
                await sleep(WAIT_SECONDS)
                continue
            run.sent = True
            result = await self._gateway.start(order)
            now = self._clock.monotonic()
            self._metrics.count("start", result.outcome.value)
            self._metrics.record("", "start-task", now - sent_at)
            self._coordinator.orders.note_start(run, result, sent_at, now)
            if result.outcome is not OrderOutcome.ACCEPTED and run.unanswered <= 1:
                self._log.write(
                    "start_unconfirmed",
                    task=str(run.task),
                    run=run.run,
                    worker=run.worker,
                    outcome=result.outcome.value,
                    detail=result.detail,
                    unanswered=run.unanswered,
                )
            if result.outcome is not OrderOutcome.ACCEPTED:
                self._on_change()
            if run.stage is RunStage.RECORDED:
                pause = FIRST_RETRY_SECONDS * 4 ** max(0, run.unanswered - 1)
                await sleep(min(RETRY_SECONDS, pause))

    async def _send_stop(self, run: ActiveRun) -> None:
        while True:
            order = self._coordinator.orders.make_stop(run)
            if order is None or run.stage is not RunStage.STOPPING:
                return
            result = await self._gateway.stop(order)
            self._metrics.count("stop", result.outcome.value)
            if self._coordinator.orders.note_stop(run, result, self._clock.monotonic()):
                self._on_change()
                return
            await sleep(RETRY_SECONDS)

    def send_stray(self, order: StopOrder) -> None:
        """Stop a run that nobody has on record."""
        self._tasks.start(self._send_once(order))

    async def _send_once(self, order: StopOrder) -> None:
        result = await self._gateway.stop(order)
        self._metrics.count("stop_stray", result.outcome.value)
