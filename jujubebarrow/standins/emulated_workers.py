"""In-memory worker that runs tasks under leases, with injected faults."""

from asyncio import Event, get_running_loop, wait_for
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from random import Random
from typing import TypeVar

from jujubebarrow.coordinators.order_results import OrderOutcome, OrderResult
from jujubebarrow.coordinators.orders import (
    RenewalOrder,
    StartOrder,
    StopOrder,
    ThrottleOrder,
)
from jujubebarrow.identifiers import PoolId, ZoneId
from jujubebarrow.standins.emulated_gangs import EmulatedGangs
from jujubebarrow.workloads.finished_runs import FinishedRun, RunOutcome
from jujubebarrow.workloads.identifiers import RunNumber, WorkerId
from jujubebarrow.workloads.resources import NO_RESOURCES, Resources
from jujubebarrow.workloads.task_keys import TaskKey
from jujubebarrow.workloads.worker_reports import (
    RenewalReport,
    RunningTask,
    WorkerEntry,
    WorkerState,
)

STOP_DELAY_SECONDS = 0.15
"""Time from the order to stop a run to the end of the run."""
CRASH_DOWNTIME_SECONDS = 3.0
"""Time from a crash that a run causes to the restart of its worker."""
RENEWALS_UNTIL_KNOWN_COUNT = 2
"""Number of answered renewals after which an owner is known to an incarnation."""
LISTED_ENDS_LIMIT = 500
"""Most finished runs in a list."""
LEASE_TOLERANCE_SECONDS = 1e-6
"""Rounding error of the worker's clock, within which a lease counts as expired."""
STARTUP_SECONDS = 0.3
"""Time from the start of a long-running task until the task is operating."""

RunKey = tuple[TaskKey, RunNumber]
Order = TypeVar("Order", StartOrder, RenewalOrder)


@dataclass(slots=True)
class EmulatedRun:
    """Record of a run on an emulated worker.

    Attributes:
        task: Task that the run belongs to.
        run: Number of the run.
        worker: Id of the worker that executes the run.
        started_at: Start time in seconds of the event loop's clock.
        ended_at: End time in seconds of the event loop's clock; None while active.
        outcome: Outcome of the run; None while active or if the worker crashed.
        payload: Payload of the job.
        known_capacity: Total resources of the worker when the run started; those of
            the former incarnation, if they are larger, until the owner is known.
        pool: Pool that the worker belonged to when the run started.
        labels: Labels of the worker when the run started.
        sent_at: Time in seconds at which the executed start was sent; 0 if unknown.
        is_end_acknowledged: Whether an owner has acknowledged the end of the run.
        has_lease_lapsed: Whether the lease expired before that. The workers' contract
            permits a second start of the task then.
        restored_seconds: Work that the checkpoint of the start has saved.
    """

    task: TaskKey
    run: RunNumber
    worker: WorkerId
    started_at: float
    ended_at: float | None = None
    outcome: RunOutcome | None = None
    payload: str = ""
    known_capacity: Resources = NO_RESOURCES
    pool: PoolId = PoolId("")
    labels: tuple[str, ...] = ()
    sent_at: float = 0.0
    is_end_acknowledged: bool = False
    has_lease_lapsed: bool = False
    restored_seconds: float = 0.0


@dataclass(slots=True)
class TaskBehaviour:
    """Simulated behaviour of a job's tasks.

    Attributes:
        seconds: Duration of a run in seconds.
        is_long_running: Whether a run lasts until the run is stopped.
        long_running_steps: Steps whose runs last until they are stopped, if those of
            the job's other steps end.
        is_failing: Whether every run fails.
        crash_delay: Time in seconds from the start of a run to the crash of its worker;
            None if the worker does not crash.
        gang_sizes: Number of tasks of each step whose tasks work only together.
        checkpoint_seconds: Work after which a run saves its progress; 0 for none.
    """

    seconds: float = 0.5
    is_long_running: bool = False
    long_running_steps: tuple[int, ...] = ()
    is_failing: bool = False
    crash_delay: float | None = None
    gang_sizes: Mapping[int, int] = field(default_factory=dict)
    checkpoint_seconds: float = 0.0

    def lasts(self, step: int) -> bool:
        """Return whether the runs of a step last until they are stopped."""
        return self.is_long_running or step in self.long_running_steps


@dataclass(slots=True)
class _Incarnation:
    """State of the worker that a restart discards.

    Attributes:
        started_at_ms: Start time in Unix milliseconds.
        started_at: Start time in seconds of the event loop's clock.
        token: Highest fencing token that the worker has seen.
        lease_end: End of the lease in seconds of the worker's clock.
        running: Active runs. Several runs of a task may be active.
        highest_runs: Highest run number that has ended or that the worker was ordered
            to stop, by task.
        finished_runs: Finished runs that have not been acknowledged, oldest first.
        ended_runs: Record of each of these, by the number of its end.
        finished_count: Number of all finished runs.
        answered_renewals: Number of lease renewals that have been answered.
        former_capacity: Total resources of the former incarnation.
    """

    started_at_ms: int
    started_at: float
    token: int = 0
    lease_end: float = 0.0
    running: dict[RunKey, EmulatedRun] = field(default_factory=dict)
    highest_runs: dict[TaskKey, int] = field(default_factory=dict)
    finished_runs: list[FinishedRun] = field(default_factory=list)
    ended_runs: dict[int, EmulatedRun] = field(default_factory=dict)
    finished_count: int = 0
    answered_renewals: int = 0
    former_capacity: Resources = NO_RESOURCES


class EmulatedWorker:
    """Worker that can restart; records the runs of all its incarnations for tests.

    Args:
        worker: Id of the worker.
        pool: Pool that the worker belongs to.
        capacity: Total resources of the worker.
        longest_lease: Longest lease in seconds that the worker accepts.
        behaviours: Behaviour of each job's tasks, by the job's payload.
        labels: Hardware kind and rack of the worker.
        random: Random generator that selects the orders that fail.
        started_at_ms: Start time of the first incarnation in Unix milliseconds.
        default_behaviour: Behaviour of the tasks of all jobs without an entry in
            ``behaviours``.
        gangs: Gangs of all workers whose runs may belong to one gang.

    Attributes:
        worker: Id of the worker.
        pool: Pool that the worker belongs to.
        capacity: Total resources of the worker.
        labels: Hardware kind and rack of the worker.
        state: Whether the worker accepts new tasks.
        remaining_seconds: Minimum time until a draining worker shuts down.
        run_history: All runs of all incarnations in the order of their starts.
        acknowledged_runs: Finished runs that an owner has acknowledged.
        is_up: Whether the worker responds.
        clock_rate: Speed of the worker's clock relative to the event loop's clock.
        is_stalled: Whether runs report no progress and newly started runs end only by
            a stop order or the end of the lease.
        late_order_probability: Probability that an order is executed after its timeout.
        response_loss_probability: Probability that an order is executed and its
            response is lost.
        late_renewal_probability: Probability that a lease renewal is executed after
            its timeout.
        late_leases_begin_on_arrival: Whether the lease of an order that is executed
            late has its full length from then on.
        on_restarted: Called when the worker has restarted by itself after a crash.
    """

    def __init__(
        self,
        worker: WorkerId,
        pool: PoolId,
        capacity: Resources,
        longest_lease: float,
        behaviours: dict[str, TaskBehaviour],
        labels: tuple[str, ...] = ("a", "r1"),
        random: Random | None = None,
        started_at_ms: int = 1,
        default_behaviour: TaskBehaviour | None = None,
        gangs: EmulatedGangs | None = None,
    ):
        self.worker = worker
        self.pool = pool
        self.capacity = capacity
        self.labels = labels
        self.state = WorkerState.READY
        self.remaining_seconds = 0.0
        self.run_history: list[EmulatedRun] = []
        self.acknowledged_runs: list[FinishedRun] = []
        self.is_up = True
        self.clock_rate = 1.0
        self.is_stalled = False
        self.late_order_probability = 0.0
        self.response_loss_probability = 0.0
        self.late_renewal_probability = 0.0
        self.late_leases_begin_on_arrival = False
        self.on_restarted: Callable[[], None] = lambda: None
        self._longest_lease = longest_lease
        self._behaviours = behaviours
        self._random = random or Random(1)
        self._finish_event = Event()
        self._duration_seconds: dict[TaskKey, float] = {}
        self._default_behaviour = default_behaviour or TaskBehaviour()
        self._gangs = gangs or EmulatedGangs()
        self._incarnation = _Incarnation(started_at_ms, self._now())

    def _now(self) -> float:
        return get_running_loop().time()

    @property
    def clock(self) -> float:
        """Reading of the worker's own clock in seconds."""
        return (self._now() - self._incarnation.started_at) * self.clock_rate

    @property
    def running(self) -> list[EmulatedRun]:
        """Active runs."""
        return list(self._incarnation.running.values())

    @property
    def entry(self) -> WorkerEntry:
        """Registration of the worker in the store."""
        return WorkerEntry(
            worker=self.worker,
            started_at_ms=self._incarnation.started_at_ms,
            pool=self.pool,
            address=self.worker,
            zone=ZoneId("z"),
            state=self.state,
            remaining=self.remaining_seconds,
            capacity=self.capacity,
            labels=self.labels,
        )

    def crash(self) -> None:
        """End all runs; the worker responds to no request until ``restart``."""
        self.is_up = False
        runs = list(self._incarnation.running.values())
        self._incarnation.running.clear()
        for run in runs:
            run.ended_at = self._now()
            self._gangs.leave(run.task, run.run)

    def _crash_for_run(self, run: EmulatedRun) -> None:
        if self._incarnation.running.get((run.task, run.run)) is run:
            self.crash()
            get_running_loop().call_later(CRASH_DOWNTIME_SECONDS, self._restart_if_down)

    def _restart_if_down(self) -> None:
        if not self.is_up:
            self.restart()
            self.on_restarted()

    def restart(
        self,
        capacity: Resources | None = None,
        labels: tuple[str, ...] | None = None,
        pool: PoolId | None = None,
    ) -> None:
        """Start a new incarnation under the same id; crash a running worker first.

        Args:
            capacity: Total resources of the new incarnation; unchanged if None.
            labels: Labels of the new incarnation; unchanged if None.
            pool: Pool of the new incarnation; unchanged if None.
        """
        if self.is_up:
            self.crash()
        self.is_up = True
        started_at_ms = max(
            self._incarnation.started_at_ms + 1, round(1000 * self._now())
        )
        self._incarnation = _Incarnation(started_at_ms, self._now())
        self._incarnation.former_capacity = self.capacity
        self.capacity = capacity or self.capacity
        self.labels = self.labels if labels is None else labels
        self.pool = pool or self.pool

    def start(self, order: StartOrder, sent_at: float = 0.0) -> OrderResult:
        """Execute an order to start a run.

        Args:
            order: The order.
            sent_at: Time in seconds of the event loop's clock at which an owner sent
                the order; 0 if unknown.
        """
        incarnation = self._incarnation
        if order.token < incarnation.token:
            return self._make_result(OrderOutcome.FENCED)
        incarnation.token = order.token
        if (order.task, order.run) in incarnation.running:
            return self._make_result(OrderOutcome.ACCEPTED)
        if order.run <= incarnation.highest_runs.get(order.task, 0):
            self._renew_until(order.deadline)
            return self._make_result(OrderOutcome.OUTDATED)
        if order.deadline <= self.clock:
            return self._make_result(OrderOutcome.LEASE_DEADLINE_PASSED)
        self._renew_until(order.deadline)
        run = EmulatedRun(order.task, order.run, self.worker, self._now())
        run.payload = order.payload
        run.pool = self.pool
        run.labels = self.labels
        run.sent_at = sent_at
        run.known_capacity = self.capacity
        if not self._is_owner_known:
            run.known_capacity = max(self.capacity, incarnation.former_capacity)
        incarnation.running[order.task, order.run] = run
        self.run_history.append(run)
        behaviour = self._behaviours.get(order.payload, self._default_behaviour)
        if behaviour.crash_delay is not None:
            loop = get_running_loop()
            loop.call_later(behaviour.crash_delay, self._crash_for_run, run)
        if not behaviour.lasts(order.task.step):
            self._plan_end(incarnation, run, behaviour, order.checkpoint)
        return self._make_result(OrderOutcome.ACCEPTED)

    def _plan_end(
        self,
        incarnation: _Incarnation,
        run: EmulatedRun,
        behaviour: TaskBehaviour,
        checkpoint: str,
    ) -> None:
        """Let a finite run end after its work, a gang's run with the other members."""
        outcome = RunOutcome.FAILED if behaviour.is_failing else RunOutcome.DONE
        self._duration_seconds[run.task] = behaviour.seconds
        if behaviour.checkpoint_seconds and checkpoint:
            run.restored_seconds = float(checkpoint)
        seconds = max(0.0, behaviour.seconds - run.restored_seconds)
        gang_size = behaviour.gang_sizes.get(run.task.step, 0)
        if gang_size and not behaviour.is_failing:
            self._gangs.join(
                run.task,
                run.run,
                gang_size,
                seconds,
                lambda end: self._finish(incarnation, run, end),
            )
        elif not self.is_stalled:
            self._finish_later(incarnation, run, seconds, outcome)

    def _make_checkpoint(self, run: EmulatedRun, is_stopped: bool = False) -> str:
        """Return the work that a run has saved; empty if there is none."""
        behaviour = self._behaviours.get(run.payload, self._default_behaviour)
        period_seconds = behaviour.checkpoint_seconds
        if not period_seconds:
            return ""
        worked_seconds = self._now() - run.started_at
        if not is_stopped:
            worked_seconds -= worked_seconds % period_seconds
        saved_seconds = run.restored_seconds + worked_seconds
        return f"{saved_seconds:.3f}" if saved_seconds else ""

    def _finish_later(
        self,
        incarnation: _Incarnation,
        run: EmulatedRun,
        seconds: float,
        outcome: RunOutcome,
    ) -> None:
        get_running_loop().call_later(seconds, self._finish, incarnation, run, outcome)

    def _finish(
        self, incarnation: _Incarnation, run: EmulatedRun, outcome: RunOutcome
    ) -> None:
        if (
            incarnation is not self._incarnation
            or incarnation.running.get((run.task, run.run)) is not run
        ):
            return
        del incarnation.running[run.task, run.run]
        incarnation.highest_runs[run.task] = max(
            incarnation.highest_runs.get(run.task, 0), run.run
        )
        run.ended_at = self._now()
        run.outcome = outcome
        checkpoint = self._make_checkpoint(run, outcome is RunOutcome.STOPPED)
        incarnation.finished_count += 1
        incarnation.finished_runs.append(
            FinishedRun(
                incarnation.finished_count, run.task, run.run, outcome, checkpoint
            )
        )
        incarnation.ended_runs[incarnation.finished_count] = run
        self._gangs.leave(run.task, run.run)
        self._finish_event.set()

    def _renew_until(self, deadline: float) -> None:
        incarnation = self._incarnation
        latest = self.clock + self._longest_lease
        incarnation.lease_end = max(incarnation.lease_end, min(deadline, latest))
        self._schedule_lease_check(incarnation)

    def _schedule_lease_check(self, incarnation: _Incarnation) -> None:
        remaining_seconds = (incarnation.lease_end - self.clock) / self.clock_rate
        get_running_loop().call_later(
            max(0.001, remaining_seconds), self._check_lease, incarnation
        )

    def _check_lease(self, incarnation: _Incarnation) -> None:
        if (
            incarnation is not self._incarnation
            or self.clock < incarnation.lease_end - LEASE_TOLERANCE_SECONDS
        ):
            return
        for ended_run in incarnation.ended_runs.values():
            ended_run.has_lease_lapsed = True
        for run in list(incarnation.running.values()):
            self._finish(incarnation, run, RunOutcome.LEASE_EXPIRED)

    def stop(self, order: StopOrder) -> OrderResult:
        """Execute an order to stop a run."""
        incarnation = self._incarnation
        if order.token < incarnation.token:
            return self._make_result(OrderOutcome.FENCED)
        incarnation.token = order.token
        incarnation.highest_runs[order.task] = max(
            incarnation.highest_runs.get(order.task, 0), order.run
        )
        current = incarnation.running.get((order.task, order.run))
        if current is not None:
            self._finish_later(
                incarnation, current, STOP_DELAY_SECONDS, RunOutcome.STOPPED
            )
        return self._make_result(OrderOutcome.ACCEPTED)

    def throttle(self, order: ThrottleOrder) -> OrderResult:
        """Accept an order to throttle a run; the speed of the run does not change."""
        if order.token < self._incarnation.token:
            return self._make_result(OrderOutcome.FENCED)
        return self._make_result(OrderOutcome.ACCEPTED)

    async def renew_lease(self, order: RenewalOrder) -> RenewalReport | None:
        """Renew the lease and return the worker's runs; None if fenced.

        If no finished run is unacknowledged, the call waits up to ``order.wait``
        seconds for a run to finish.
        """
        if not self.apply_renewal(order):
            return None
        incarnation = self._incarnation
        if order.wait and not incarnation.finished_runs:
            self._finish_event.clear()
            try:
                await wait_for(self._finish_event.wait(), order.wait)
            except TimeoutError:
                pass
        incarnation = self._incarnation
        incarnation.answered_renewals += 1
        return RenewalReport(
            incarnation.started_at_ms,
            self.clock,
            tuple(self._make_running_task(run) for run in incarnation.running.values()),
            tuple(incarnation.finished_runs[:LISTED_ENDS_LIMIT]),
            len(incarnation.finished_runs) < LISTED_ENDS_LIMIT,
        )

    @property
    def _is_owner_known(self) -> bool:
        """Whether the owner knows the incarnation, and the incarnation the owner.

        The first answered renewal shows a restart to the owner, and the second one
        carries the owner's token for the new incarnation.
        """
        return self._incarnation.answered_renewals >= RENEWALS_UNTIL_KNOWN_COUNT

    def postpone_deadline(self, order: Order, sent_clock: float) -> Order:
        """Return a late order with the deadline that the worker uses for the lease.

        Args:
            order: Order that is executed late.
            sent_clock: Reading of the worker's clock in seconds at which the order was
                sent.
        """
        if not self.late_leases_begin_on_arrival or order.deadline is None:
            return order
        length = max(0.0, order.deadline - sent_clock)
        return replace(order, deadline=self.clock + length)

    def apply_renewal(self, order: RenewalOrder) -> bool:
        """Renew the lease and forget acknowledged runs; return False if fenced."""
        incarnation = self._incarnation
        if order.token < incarnation.token:
            return False
        incarnation.token = order.token
        if order.deadline is not None and order.deadline > self.clock:
            self._renew_until(order.deadline)
        acknowledged_runs = [
            finished_run
            for finished_run in incarnation.finished_runs
            if finished_run.number <= order.acknowledged
        ]
        self.acknowledged_runs.extend(acknowledged_runs)
        for finished_run in acknowledged_runs:
            incarnation.ended_runs.pop(finished_run.number).is_end_acknowledged = True
        incarnation.finished_runs = [
            finished_run
            for finished_run in incarnation.finished_runs
            if finished_run.number > order.acknowledged
        ]
        return True

    def _make_running_task(self, run: EmulatedRun) -> RunningTask:
        elapsed_seconds = self._now() - run.started_at
        checkpoint = self._make_checkpoint(run)
        if self.is_stalled:
            return RunningTask(run.task, run.run, checkpoint, 0, 0)
        duration_seconds = self._duration_seconds.get(run.task, 0.0)
        if duration_seconds:
            percent = min(99, int(100 * elapsed_seconds / duration_seconds))
        else:
            percent = 100 if elapsed_seconds > STARTUP_SECONDS else 0
        return RunningTask(run.task, run.run, checkpoint, percent, 0)

    def _make_result(self, outcome: OrderOutcome) -> OrderResult:
        return OrderResult(outcome, self.clock)

    def draw_order_fault(self) -> str:
        """Choose the fault of the next order at random.

        Returns:
            Empty for no fault; "late" if the order is executed after its timeout;
            "lost" if the order is executed and its response is lost.
        """
        draw = self._random.random()
        if draw < self.late_order_probability:
            return "late"
        return (
            "lost"
            if draw < self.late_order_probability + self.response_loss_probability
            else ""
        )

    def draw_late_renewal(self) -> bool:
        """Choose at random whether the next renewal is executed after its timeout."""
        return (
            self.late_renewal_probability > 0
            and self._random.random() < self.late_renewal_probability
        )
