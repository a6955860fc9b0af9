"""Starts that a worker may execute seconds late, also after it has restarted."""

from collections import Counter
from dataclasses import dataclass

from jujubebarrow.coordinators.active_runs import ActiveRun
from jujubebarrow.coordinators.late_start_records import LateStartRecord, StepKey
from jujubebarrow.workloads.identifiers import RunNumber
from jujubebarrow.workloads.resources import NO_RESOURCES, Resources
from jujubebarrow.workloads.task_keys import TaskKey

RunKey = tuple[TaskKey, RunNumber]


@dataclass(slots=True)
class _LateStart:
    """Run of which a worker's next incarnation may execute a start.

    Attributes:
        run: The run.
        is_open: Whether the run is planned or inherited, and its worker has neither
            acknowledged nor listed it.
        in_flight_count: Number of start orders that have got no result yet.
        end: Time in seconds until which the worker may execute the unacknowledged ones.
    """

    run: ActiveRun
    is_open: bool = False
    in_flight_count: int = 0
    end: float = 0.0

    def is_possible(self, now: float) -> bool:
        return self.is_open or self.in_flight_count > 0 or self.end > now


class LateStarts:
    """Starts that the next incarnation of a worker may execute.

    A restarted worker knows none of its former runs and rejects no start until its
    owner has reached it. All starts that may still arrive by then must fit on the
    worker together, those of runs that have ended as well.
    """

    def __init__(self) -> None:
        self._starts: dict[RunKey, _LateStart] = {}
        self._unacknowledged: dict[RunKey, float] = {}
        self._task_ends: dict[TaskKey, float] = {}
        self._in_flight_count = 0
        self._own_end = 0.0
        self._former = LateStartRecord()
        self._last_end = 0.0
        self._reserved = NO_RESOURCES
        self._step_counts: Counter[StepKey] = Counter()

    @property
    def end(self) -> float:
        """Time in seconds until which the worker may execute unacknowledged starts."""
        return max(self._own_end, self._former.end)

    @property
    def last_end(self) -> float:
        """Time in seconds until which any start could be executed, also in the past."""
        return max(self._last_end, self.end)

    @property
    def has_in_flight(self) -> bool:
        """Whether a start order has got no result yet."""
        return self._in_flight_count > 0

    @property
    def reserved(self) -> Resources:
        """Resources that the runs of all these starts need together."""
        return self._reserved.plus(self._former.reserved)

    def count(self, step: StepKey) -> int:
        """Return the number of runs of a step among these starts."""
        return self._step_counts[step] + self._former.steps.get(step, 0)

    def may_contain(self, step: StepKey, now: float) -> bool:
        """Return whether one of these starts may be of a task of a step."""
        is_former = self._former.end > now and self._former.may_contain(step)
        return is_former or self._step_counts[step] > 0

    def find_end(self, task: TaskKey) -> float:
        """Return until when an unacknowledged start of a task may be executed.

        Any task may have had one by a former owner of the pool.

        Returns:
            Time in seconds; 0 if there is no such start.
        """
        return max(self._task_ends.get(task, 0.0), self._former.end)

    def set_former_owners_starts(self, record: LateStartRecord) -> None:
        """Set the starts of former owners of the pool."""
        self._former = record
        self._last_end = max(self._last_end, record.end)

    def open_run(self, run: ActiveRun) -> None:
        """Add a run whose worker has neither acknowledged nor listed it."""
        self._ensure(run).is_open = True

    def close_run(self, run: ActiveRun, now: float) -> bool:
        """Note that a run has been acknowledged, listed or released.

        Returns:
            Whether the run was open.
        """
        start = self._starts.get((run.task, run.run))
        if start is None or not start.is_open:
            return False
        start.is_open = False
        self._remove_if_over(start, now)
        return True

    def record_sent(self, run: ActiveRun) -> None:
        """Note that a start order leaves this process."""
        self._ensure(run).in_flight_count += 1
        self._in_flight_count += 1

    def record_result(self, run: ActiveRun, now: float) -> None:
        """Note that a start order has got a result."""
        self._in_flight_count = max(0, self._in_flight_count - 1)
        start = self._starts.get((run.task, run.run))
        if start is not None:
            start.in_flight_count = max(0, start.in_flight_count - 1)
            self._remove_if_over(start, now)

    def record_unacknowledged(self, run: ActiveRun, now: float) -> None:
        """Record an unacknowledged start, which the worker may execute late."""
        self.prune(now)
        self._ensure(run).end = run.late_start_until
        self._unacknowledged[run.task, run.run] = run.late_start_until
        self._task_ends[run.task] = run.late_start_until
        self._own_end = max(self._own_end, run.late_start_until)

    def keep_former_start(self, run: ActiveRun, end: float, now: float) -> None:
        """Keep capacity for a run that a former owner may have started."""
        if end <= now:
            return
        self._ensure(run).end = end
        self._unacknowledged[run.task, run.run] = end
        self._own_end = max(self._own_end, end)

    def prune(self, now: float) -> list[RunKey]:
        """Drop starts that can no longer be executed; return the remaining ones.

        The remaining unacknowledged starts may still be executed by the present or any
        later incarnation of the worker.
        """
        if not self._unacknowledged and not self._former.end:
            return []
        for key, end in list(self._unacknowledged.items()):
            if end <= now:
                del self._unacknowledged[key]
                if key in self._starts:
                    self._remove_if_over(self._starts[key], now)
        self._task_ends = {
            task: end for task, end in self._task_ends.items() if end > now
        }
        if self._former.end <= now:
            self._former = LateStartRecord()
        return list(self._unacknowledged)

    def make_record(self, now: float) -> LateStartRecord:
        """Return what a later owner of the pool has to know.

        Runs that are still active are stored with their jobs as well. They count here,
        since they may end before the record is written again.
        """
        self.prune(now)
        reserved = self._former.reserved
        steps = Counter(self._former.steps)
        for key in self._unacknowledged:
            run = self._starts[key].run
            reserved = reserved.plus(run.reserved)
            steps[run.task[:3]] += 1
        is_complete = self._former.are_steps_known
        return LateStartRecord(self.end, reserved, dict(steps), is_complete)

    def _ensure(self, run: ActiveRun) -> _LateStart:
        start = self._starts.get((run.task, run.run))
        if start is None:
            start = self._starts[run.task, run.run] = _LateStart(run)
            self._reserved = self._reserved.plus(run.reserved)
            self._step_counts[run.task[:3]] += 1
        return start

    def _remove_if_over(self, start: _LateStart, now: float) -> None:
        run = start.run
        if start.is_possible(now) or (run.task, run.run) not in self._starts:
            return
        del self._starts[run.task, run.run]
        self._reserved = self._reserved.minus(run.reserved)
        self._step_counts[run.task[:3]] -= 1
        if not self._step_counts[run.task[:3]]:
            del self._step_counts[run.task[:3]]
