"""Sends orders to workers; repeats starts and stops until the outcome is known."""

from asyncio import sleep
from collections.abc import Callable, Iterable

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.active_runs import ActiveRun, RunStage
from jujubebarrow.coordinators.order_results import OrderOutcome, OrderResult
from jujubebarrow.coordinators.orders import StartOrder, StopOrder
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.coordinators.start_queues import StartQueue
from jujubebarrow.gateways.start_relays import StartRelay, StartsNotRelayedError
from jujubebarrow.gateways.worker_gateways import WorkerGateway
from jujubebarrow.links.link_backlogs import LinkBacklog
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.owned_tasks import OwnedTasks
from jujubebarrow.workloads.identifiers import WorkerId

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

    Starts are sent as fast as this instance's link carries them. Those of a job that
    would have to wait go through another instance, which needs the payload only once.

    Args:
        coordinator: Makes the scheduling decisions of the pool.
        gateway: Sends orders to the workers.
        relay: Sends starts through other instances.
        backlog: Estimates what waits on this instance's link.
        tasks: Runs background tasks until the owner closes.
        can_send_orders: Returns whether this instance certainly owns the pool.
        on_change: Called when the result of an order may allow a new plan.
        may_repeat_start: Returns whether a later owner would know of the unacknowledged
            starts of a worker; if not, they are stored soon.
        clock: Time source.
        log: Decision log.
        metrics: Registry of the counters and latencies.
    """

    def __init__(
        self,
        coordinator: PoolCoordinator,
        gateway: WorkerGateway,
        relay: StartRelay,
        backlog: LinkBacklog,
        tasks: OwnedTasks,
        can_send_orders: Callable[[], bool],
        on_change: Callable[[], None],
        may_repeat_start: Callable[[WorkerId], bool],
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        self._coordinator = coordinator
        self._gateway = gateway
        self._relay = relay
        self._backlog = backlog
        self._tasks = tasks
        self._can_send_orders = can_send_orders
        self._on_change = on_change
        self._may_repeat_start = may_repeat_start
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._queue = StartQueue(coordinator.state, backlog)
        self._is_waiting_for_link = False

    def send_released(self) -> None:
        """Start sending all released orders."""
        self._enqueue(self._coordinator.orders.pop_starts(), may_relay=True)
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
        if (
            result.outcome is OrderOutcome.ACCEPTED
            and self._coordinator.orders.is_to_present_incarnation(order)
        ):
            run.speed_percent = order.percent
            self._log.write(
                "pace_set",
                task=str(run.task),
                worker=run.worker,
                percent=run.speed_percent,
            )

    def count_sendable_starts(self) -> float:
        """Return how many more starts can be sent soon; may be infinite."""
        return self._queue.count_sendable(self._relay.is_available)

    def _enqueue(self, runs: Iterable[ActiveRun], may_relay: bool) -> None:
        self._queue.add(runs, may_relay)
        self._send_waiting()
        if self._queue and not self._is_waiting_for_link:
            self._is_waiting_for_link = True
            self._tasks.start(self._send_when_possible())

    async def _send_when_possible(self) -> None:
        try:
            while self._queue:
                await sleep(self._queue.seconds_to_next)
                self._send_waiting()
        finally:
            self._is_waiting_for_link = False

    def _send_waiting(self) -> None:
        while runs := self._queue.pop_next(self._relay.is_available):
            if len(runs) > 1:
                self._tasks.start(self._send_group(runs))
            else:
                self._tasks.start(self._send_start(runs[0]))

    async def _send_start(self, run: ActiveRun) -> None:
        sent_at = self._clock.monotonic()
        order = self._make_start(run, sent_at)
        if order is not None:
            result = await self._gateway.start(order)
            self._handle_start_result(run, order, result, sent_at)
        await self._repeat_later(run, is_sent=order is not None)

    async def _send_group(self, runs: list[ActiveRun]) -> None:
        sent_at = self._clock.monotonic()
        orders = {run: self._make_start(run, sent_at) for run in runs}
        sent = [(run, order) for run, order in orders.items() if order is not None]
        if sent:
            await self._relay_starts(sent, sent_at)
        for run, order in orders.items():
            self._tasks.start(self._repeat_later(run, is_sent=order is not None))

    async def _relay_starts(
        self, sent: list[tuple[ActiveRun, StartOrder]], sent_at: float
    ) -> None:
        detail = ""
        try:
            results = await self._relay.start([order for _, order in sent])
        except StartsNotRelayedError as error:
            detail = str(error)
            results = []
        self._metrics.count("starts_relayed", amount=len(results))
        self._log.write(
            "starts_relayed",
            job=sent[0][0].task.job,
            tasks=[f"{run.task.step}.{run.task.index}#{run.run}" for run, _ in sent],
            accepted=sum(item.outcome is OrderOutcome.ACCEPTED for item in results),
            waiting=len(self._queue),
            link_wait=round(self._backlog.wait_seconds, 3),
            detail=detail,
        )
        missing = len(sent) - len(results)
        results += [OrderResult(OrderOutcome.UNREACHED)] * missing
        for (run, order), result in zip(sent, results, strict=False):
            if result.outcome is not OrderOutcome.UNREACHED:
                self._handle_start_result(run, order, result, sent_at)
            else:
                # The other instance may fail to reach a worker that this one reaches.
                now = self._clock.monotonic()
                self._coordinator.orders.handle_unsent_start(run, now)

    def _make_start(self, run: ActiveRun, now: float) -> StartOrder | None:
        if run.stage is not RunStage.RECORDED or not self._can_send_orders():
            return None
        if run.unacknowledged_starts and not self._may_repeat_start(run.worker):
            return None
        order = self._coordinator.orders.make_start(run, now)
        if order is not None:
            run.is_start_sent = True
        return order

    def _handle_start_result(
        self,
        run: ActiveRun,
        order: StartOrder,
        result: OrderResult,
        sent_at: float,
    ) -> None:
        now = self._clock.monotonic()
        self._metrics.count("start", result.outcome.value)
        self._metrics.record_latency("", "start-task", now - sent_at)
        self._coordinator.orders.handle_start_result(run, order, result, sent_at, now)
        if result.outcome is OrderOutcome.ACCEPTED:
            return
        if result.outcome is OrderOutcome.UNACKNOWLEDGED:
            self._may_repeat_start(run.worker)
        if run.unacknowledged_starts <= 1:
            self._log.write(
                "start_unconfirmed",
                task=str(run.task),
                run=run.run,
                worker=run.worker,
                outcome=result.outcome.value,
                detail=result.detail,
                unanswered=run.unacknowledged_starts,
            )
        self._on_change()

    async def _repeat_later(self, run: ActiveRun, is_sent: bool) -> None:
        """Queue a start again after a delay, unless the start is not needed any more.

        A start that was relayed without success is then sent directly.
        """
        if run.stage is not RunStage.RECORDED:
            return
        if not is_sent:
            if not self._coordinator.orders.is_active(run):
                return
            await sleep(SEND_RETRY_SECONDS)
        else:
            delay = FIRST_RETRY_SECONDS * 4 ** max(0, run.unacknowledged_starts - 1)
            await sleep(min(RETRY_SECONDS, delay))
        if run.stage is RunStage.RECORDED:
            may_relay = not is_sent and not run.unacknowledged_starts
            self._enqueue([run], may_relay)

    async def _send_stop(self, run: ActiveRun) -> None:
        while True:
            order = self._coordinator.orders.make_stop(run)
            if order is None or run.stage is not RunStage.STOPPING:
                return
            result = await self._gateway.stop(order)
            self._metrics.count("stop", result.outcome.value)
            if self._coordinator.orders.handle_stop_result(
                run, order, result, self._clock.monotonic()
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
