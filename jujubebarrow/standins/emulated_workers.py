"""Worker that runs tasks under leases, in memory, with faults."""

from asyncio import Event, get_running_loop, wait_for
from dataclasses import dataclass, field
from random import Random

from jujubebarrow.coordinators.order_results import OrderOutcome, OrderResult
from jujubebarrow.coordinators.orders import (
    RenewalOrder,
    StartOrder,
    StopOrder,
    ThrottleOrder,
)
from jujubebarrow.identifiers import PoolId, ZoneId
from jujubebarrow.workloads.finished_runs import FinishedRun, RunOutcome
from jujubebarrow.workloads.identifiers import RunNumber, WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.task_keys import TaskKey
from jujubebarrow.workloads.worker_reports import (
    RenewalReport,
    RunningTask,
    WorkerEntry,
    WorkerState,
)

STOP_SECONDS = 0.15
"""Time that a stop takes."""
START_UP_SECONDS = 0.3
"""Time until a long-running task is at work."""


@dataclass(slots=True)
class EmulatedRun:
    """Run on an emulated worker.

    Attributes:
        task: Task.
        run: Number of the run.
        worker: Worker.
        started: Loop time in seconds.
        ended: Loop time of its end in seconds; None while it runs.
        outcome: How it ended.
        payload: Text of the job.
    """

    task: TaskKey
    run: RunNumber
    worker: WorkerId
    started: float
    ended: float | None = None
    outcome: RunOutcome | None = None
    payload: str = ""


@dataclass(slots=True)
class TaskBehaviour:
    """How tasks of a job behave.

    Attributes:
        seconds: Duration of a task.
        long_running: Whether it runs until it is stopped.
        fails: Whether every run of it fails.
    """

    seconds: float = 0.5
    long_running: bool = False
    fails: bool = False


@dataclass(slots=True)
class _Life:
    born: int
    began: float
    token: int = 0
    lease: float = 0.0
    running: dict[TaskKey, EmulatedRun] = field(default_factory=dict)
    highest: dict[TaskKey, int] = field(default_factory=dict)
    ends: list[FinishedRun] = field(default_factory=list)
    count: int = 0


class EmulatedWorker:
    """One worker with its lives; keeps a record of all runs for tests.

    Args:
        worker: Id.
        pool: Pool.
        capacity: Resources.
        longest_lease: Longest lease in seconds.
        behaviours: Behaviour of each job's tasks, by the job's payload.
        labels: Kind and rack.
        random: Source of faults.
        born: Start of the first life, Unix time in milliseconds.
        usual: Behaviour of tasks of all other jobs.
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
        born: int = 1,
        usual: TaskBehaviour | None = None,
    ):
        self.worker = worker
        self.pool = pool
        self.capacity = capacity
        self.labels = labels
        self.state = WorkerState.READY
        self.record: list[EmulatedRun] = []
        self.acknowledged: list[FinishedRun] = []
        # Ends that no owner had acknowledged when the lease was over: by the
        # workers' contract such a task may be started again.
        self.unlisted: set[tuple[TaskKey, RunNumber]] = set()
        self.is_up = True
        self.clock_rate = 1.0
        self.stands_still = False
        self.late_share = 0.0
        self.lost_share = 0.0
        self._longest_lease = longest_lease
        self._behaviours = behaviours
        self._random = random or Random(1)
        self._changed = Event()
        self._seconds: dict[TaskKey, float] = {}
        self._usual = usual or TaskBehaviour()
        self._life = _Life(born, self._now())

    def _now(self) -> float:
        return get_running_loop().time()

    @property
    def clock(self) -> float:
        """Worker's own clock in seconds."""
        return (self._now() - self._life.began) * self.clock_rate

    @property
    def running(self) -> list[EmulatedRun]:
        """Runs at work."""
        return list(self._life.running.values())

    @property
    def entry(self) -> WorkerEntry:
        """Registration as the store has it."""
        return WorkerEntry(
            worker=self.worker,
            started_at_ms=self._life.born,
            pool=self.pool,
            address=self.worker,
            zone=ZoneId("z"),
            state=self.state,
            capacity=self.capacity,
            labels=self.labels,
        )

    def crash(self) -> None:
        """End all that runs; the worker answers nothing until ``restart``."""
        self.is_up = False
        for run in list(self._life.running.values()):
            run.ended = self._now()
        self._life.running.clear()

    def restart(self) -> None:
        """Begin a new life under the same id."""
        if self.is_up:
            self.crash()
        self.is_up = True
        self._life = _Life(self._life.born + 1, self._now())

    def start(self, order: StartOrder) -> OrderResult:
        """Carry out a start."""
        life = self._life
        if order.token < life.token:
            return self._answer(OrderOutcome.FENCED)
        life.token = order.token
        present = life.running.get(order.task)
        if present is not None and present.run == order.run:
            return self._answer(OrderOutcome.ACCEPTED)
        if order.run <= life.highest.get(order.task, 0):
            self._extend(order.deadline)
            return self._answer(OrderOutcome.OUTDATED)
        if order.deadline <= self.clock:
            return self._answer(OrderOutcome.LEASE_DEADLINE_PASSED)
        self._extend(order.deadline)
        life.highest[order.task] = order.run
        run = EmulatedRun(order.task, order.run, self.worker, self._now())
        run.payload = order.payload
        life.running[order.task] = run
        self.record.append(run)
        behaviour = self._behaviours.get(order.payload, self._usual)
        if not behaviour.long_running:
            outcome = RunOutcome.FAILED if behaviour.fails else RunOutcome.DONE
            self._seconds[order.task] = behaviour.seconds
            if not self.stands_still:
                self._end_later(life, run, behaviour.seconds, outcome)
        return self._answer(OrderOutcome.ACCEPTED)

    def _end_later(
        self, life: _Life, run: EmulatedRun, seconds: float, outcome: RunOutcome
    ) -> None:
        get_running_loop().call_later(seconds, self._end, life, run, outcome)

    def _end(self, life: _Life, run: EmulatedRun, outcome: RunOutcome) -> None:
        if life is not self._life or life.running.get(run.task) is not run:
            return
        del life.running[run.task]
        run.ended = self._now()
        run.outcome = outcome
        life.count += 1
        life.ends.append(FinishedRun(life.count, run.task, run.run, outcome, ""))
        self._changed.set()

    def _extend(self, deadline: float) -> None:
        life = self._life
        latest = self.clock + self._longest_lease
        life.lease = max(life.lease, min(deadline, latest))
        self._watch_lease(life)

    def _watch_lease(self, life: _Life) -> None:
        left = (life.lease - self.clock) / self.clock_rate
        get_running_loop().call_later(max(0.001, left), self._check_lease, life)

    def _check_lease(self, life: _Life) -> None:
        if life is not self._life or self.clock < life.lease:
            return
        for end in life.ends:
            self.unlisted.add((end.task, end.run))
        for run in list(life.running.values()):
            self._end(life, run, RunOutcome.LEASE_EXPIRED)

    def stop(self, order: StopOrder) -> OrderResult:
        """Carry out a stop."""
        life = self._life
        if order.token < life.token:
            return self._answer(OrderOutcome.FENCED)
        life.token = order.token
        life.highest[order.task] = max(life.highest.get(order.task, 0), order.run)
        present = life.running.get(order.task)
        if present is not None and present.run <= order.run:
            self._end_later(life, present, STOP_SECONDS, RunOutcome.STOPPED)
        return self._answer(OrderOutcome.ACCEPTED)

    def pace(self, order: ThrottleOrder) -> OrderResult:
        """Carry out a change of pace."""
        if order.token < self._life.token:
            return self._answer(OrderOutcome.FENCED)
        return self._answer(OrderOutcome.ACCEPTED)

    async def hold(self, order: RenewalOrder) -> RenewalReport | None:
        """Extend the lease and list runs and ends; None if fenced."""
        life = self._life
        if order.token < life.token:
            return None
        life.token = order.token
        if order.deadline is not None and order.deadline > self.clock:
            self._extend(order.deadline)
        gone = [end for end in life.ends if end.number <= order.acknowledged]
        self.acknowledged.extend(gone)
        life.ends = [end for end in life.ends if end.number > order.acknowledged]
        if order.wait and not life.ends:
            self._changed.clear()
            try:
                await wait_for(self._changed.wait(), order.wait)
            except TimeoutError:
                pass
        life = self._life
        return RenewalReport(
            life.born,
            self.clock,
            tuple(self._describe(run) for run in life.running.values()),
            tuple(life.ends),
        )

    def _describe(self, run: EmulatedRun) -> RunningTask:
        elapsed = self._now() - run.started
        if self.stands_still:
            return RunningTask(run.task, run.run, "", 0, 0)
        seconds = self._seconds.get(run.task, 0.0)
        if seconds:
            percent = min(99, int(100 * elapsed / seconds))
        else:
            percent = 100 if elapsed > START_UP_SECONDS else 0
        return RunningTask(run.task, run.run, "", percent, 0)

    def _answer(self, outcome: OrderOutcome) -> OrderResult:
        return OrderResult(outcome, self.clock)

    def draw_fault(self) -> str:
        """Return what becomes of the next order: empty, late or lost."""
        value = self._random.random()
        if value < self.late_share:
            return "late"
        return "lost" if value < self.late_share + self.lost_share else ""
