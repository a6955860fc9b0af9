"""Sends orders to workers; repeats starts and stops until the outcome is known."""

from asyncio import sleep
from collections import deque
from collections.abc import Callable, Iterable

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.active_runs import ActiveRun, RunStage
from jujubebarrow.coordinators.order_results import OrderOutcome, OrderResult
from jujubebarrow.coordinators.orders import StartOrder, StopOrder
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.gateways.start_relays import StartRelay, StartsNotRelayedError
from jujubebarrow.gateways.worker_gateways import WorkerGateway
from jujubebarrow.links.link_backlogs import LinkBacklog
from jujubebarrow.links.message_sizes import (
    RELAYED_START_BYTES,
    START_BYTES,
    estimate_batch_bytes,
    estimate_start_bytes,
)
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

LINK_WAIT_SECONDS = 0.04
"""Wait on this instance's link from which on starts stay in this process; a sixth of
the timeout of an order."""
LINK_POLL_SECONDS = 0.005
"""Least time between two checks whether the link has room."""
RELAY_WAIT_SECONDS = 0.03
"""Time that the link needs for the waiting starts from which on those of the same job
go through another instance."""
PLANNED_WAIT_SECONDS = 0.3
"""Longest time for which runs are planned before their starts can be sent; less than
half of a short task."""
RELAYED_SECONDS = 0.2
"""Longest time that a link like that of this instance takes for the starts of a relayed
batch."""
MEAN_GROUP_SIZE = 4
"""Assumed number of starts in a relayed batch."""
INITIAL_PAYLOAD_BYTES = 1000.0
PAYLOAD_WEIGHT = 0.05
"""Weight of a start in the mean size of the payloads."""


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
        self._clock = clock
        self._log = log
        self._metrics = metrics
        # Recorded runs whose start is not sent yet, and whether it may be relayed.
        self._waiting: deque[tuple[ActiveRun, bool]] = deque()
        self._is_waiting_for_link = False
        self._mean_payload_bytes = INITIAL_PAYLOAD_BYTES

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
        if result.outcome is OrderOutcome.ACCEPTED:
            run.speed_percent = order.percent
            self._log.write(
                "pace_set",
                task=str(run.task),
                worker=run.worker,
                percent=run.speed_percent,
            )

    @property
    def waiting_start_count(self) -> int:
        """Number of starts that wait until this instance's link has room."""
        return len(self._waiting)

    def count_sendable_starts(self) -> float:
        """Return how many more starts the link carries soon; may be infinite.

        Runs that are planned beyond this number would occupy workers while their starts
        wait, and would be sent in an order that is decided too early.
        """
        seconds = PLANNED_WAIT_SECONDS - self._backlog.wait_seconds
        size = START_BYTES + self._mean_payload_bytes
        if self._relay.is_available:
            size = RELAYED_START_BYTES + self._mean_payload_bytes / MEAN_GROUP_SIZE
        count = self._backlog.count_transfers(max(0.0, seconds), size)
        return max(0.0, count - len(self._waiting))

    def _enqueue(self, runs: Iterable[ActiveRun], may_relay: bool) -> None:
        self._waiting.extend((run, may_relay) for run in runs)
        self._send_waiting()
        if self._waiting and not self._is_waiting_for_link:
            self._is_waiting_for_link = True
            self._tasks.start(self._send_when_possible())

    async def _send_when_possible(self) -> None:
        try:
            while self._waiting:
                excess = self._backlog.wait_seconds - LINK_WAIT_SECONDS
                await sleep(max(LINK_POLL_SECONDS, excess))
                self._send_waiting()
        finally:
            self._is_waiting_for_link = False

    def _send_waiting(self) -> None:
        """Send starts until the next one would wait too long on the link.

        Messages that keep leases then never wait long behind starts.
        """
        while self._waiting and self._backlog.wait_seconds <= LINK_WAIT_SECONDS:
            run, may_relay = self._waiting.popleft()
            job = self._coordinator.state.jobs.get(run.task.job)
            payload = job.record.payload if job is not None else ""
            self._mean_payload_bytes += PAYLOAD_WEIGHT * (
                len(payload) - self._mean_payload_bytes
            )
            group = self._pop_group(run) if may_relay else []
            if group:
                runs = [run, *group]
                self._backlog.add(estimate_batch_bytes(payload, len(runs)))
                self._tasks.start(self._send_group(runs))
            else:
                self._backlog.add(estimate_start_bytes(payload))
                self._tasks.start(self._send_start(run))

    def _pop_group(self, run: ActiveRun) -> list[ActiveRun]:
        """Remove and return the waiting starts that are relayed along with a run.

        There are none while the link carries all waiting starts soon by itself.
        """
        size = START_BYTES + self._mean_payload_bytes
        seconds = self._backlog.compute_transfer_seconds(size * len(self._waiting))
        if seconds + self._backlog.wait_seconds < RELAY_WAIT_SECONDS:
            return []
        if not self._relay.is_available:
            return []
        limit = self._backlog.count_transfers(RELAYED_SECONDS, size)
        group: list[ActiveRun] = []
        others: deque[tuple[ActiveRun, bool]] = deque()
        for other, may_relay in self._waiting:
            is_in_group = may_relay and other.task.job == run.task.job
            if is_in_group and len(group) < limit - 1:
                group.append(other)
            else:
                others.append((other, may_relay))
        if group:
            self._waiting = others
        return group

    async def _send_start(self, run: ActiveRun) -> None:
        sent_at = self._clock.monotonic()
        order = self._make_start(run, sent_at)
        if order is not None:
            result = await self._gateway.start(order)
            self._handle_start_result(run, result, sent_at)
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
            waiting=len(self._waiting),
            link_wait=round(self._backlog.wait_seconds, 3),
            detail=detail,
        )
        for (run, _), result in zip(sent, results, strict=False):
            if result.outcome is not OrderOutcome.UNREACHED:
                # The other instance may fail to reach a worker that this one reaches.
                self._handle_start_result(run, result, sent_at)

    def _make_start(self, run: ActiveRun, now: float) -> StartOrder | None:
        if run.stage is not RunStage.RECORDED or not self._can_send_orders():
            return None
        order = self._coordinator.orders.make_start(run, now)
        if order is not None:
            run.is_start_sent = True
        return order

    def _handle_start_result(
        self, run: ActiveRun, result: OrderResult, sent_at: float
    ) -> None:
        now = self._clock.monotonic()
        self._metrics.count("start", result.outcome.value)
        self._metrics.record_latency("", "start-task", now - sent_at)
        self._coordinator.orders.handle_start_result(run, result, sent_at, now)
        if result.outcome is OrderOutcome.ACCEPTED:
            return
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
            self._enqueue([run], may_relay=not is_sent)

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
