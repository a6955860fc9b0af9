"""State of one task."""

from collections.abc import Container
from dataclasses import dataclass, field

from jujubebarrow.coordinators.active_runs import ActiveRun
from jujubebarrow.workloads.identifiers import RunNumber, WorkerId

SUSPECT_LOSS_COUNT = 2
"""Lost workers from which on a task counts as suspect, however late it lost them."""
DELAYED_CRASH_COUNT = 3
"""Crashes in a row from which on a task waits before it is started again."""
DELAYED_LOSS_COUNT = 5
"""Lost workers from which on a finite task waits, however late it lost them."""
RESTART_DELAY_SECONDS = 1.0
"""First of these waits."""
RESTART_DELAY_FACTOR = 8.0
"""Growth of the wait with each further crash."""
RESTART_DELAY_LIMIT_SECONDS = 64.0
LONG_RUNNING_DELAY_LIMIT_SECONDS = 4.0
"""Longest wait of a long-running task, whose absence its users notice."""


@dataclass(slots=True, eq=False)
class TaskState:
    """Runs and outcome of a task.

    Attributes:
        is_done: Whether a run has succeeded.
        failures: Number of failed runs.
        crashes: Number of workers in a row that were lost right after they started the
            task.
        losses: Number of workers that were lost while they ran the task.
        last_run: Number of the latest run; 0 before the first run.
        checkpoint: Newest checkpoint; empty if there is none.
        active: Run that may still be executing.
        avoided_worker: Worker of the last failed, stalled or lost run; ranks below
            other workers for the next run.
        absent_since: Time in seconds at which the last run was released; 0 before that.
        blocked_until: Time in seconds until which another run of the task may be
            executing that no owner has recorded.
        in_flight_starts: Number of start orders that have got no result yet.
        late_starts: Workers that may execute a late start of a former run, with the
            times in seconds until which they may.
        last_seen_at: Time in seconds at which a worker last acknowledged or listed a
            run of the task to this owner; 0 before that.
    """

    is_done: bool = False
    failures: int = 0
    crashes: int = 0
    losses: int = 0
    last_run: RunNumber = RunNumber(0)
    checkpoint: str = ""
    active: ActiveRun | None = None
    avoided_worker: WorkerId | None = None
    absent_since: float = 0.0
    blocked_until: float = 0.0
    in_flight_starts: int = 0
    late_starts: dict[WorkerId, float] = field(default_factory=dict)
    last_seen_at: float = 0.0

    @property
    def is_suspect(self) -> bool:
        """Whether the task may be the one that crashes its workers."""
        return self.crashes > 0 or self.losses >= SUSPECT_LOSS_COUNT

    def block_until(self, time: float) -> None:
        """Let no run start before a time in seconds; a later time is kept."""
        self.blocked_until = max(self.blocked_until, time)

    def record_late_start(self, worker: WorkerId, end: float) -> bool:
        """Record that a worker may execute a former start until a time in seconds.

        Returns:
            Whether the time is later than the recorded one.
        """
        is_later = end > self.late_starts.get(worker, 0.0)
        if is_later:
            self.late_starts[worker] = end
        return is_later

    def prune_late_starts(self, now: float, ended: Container[WorkerId]) -> None:
        """Drop the former starts that no worker can execute any more.

        Args:
            now: Time in seconds.
            ended: Workers that execute no order any more.
        """
        self.late_starts = {
            worker: end
            for worker, end in self.late_starts.items()
            if end > now and worker not in ended
        }

    def compute_restart_delay(self, is_long_running: bool) -> float:
        """Return for how many seconds a task waits that may crash its workers.

        A long-running task loses workers by chance in the course of time, so that only
        those count that were lost right after its start.

        Args:
            is_long_running: Whether the task runs until its job is cancelled.
        """
        excess = self.crashes - DELAYED_CRASH_COUNT
        limit = LONG_RUNNING_DELAY_LIMIT_SECONDS
        if not is_long_running:
            excess = max(excess, self.losses - DELAYED_LOSS_COUNT)
            limit = RESTART_DELAY_LIMIT_SECONDS
        if excess < 0:
            return 0.0
        return min(limit, RESTART_DELAY_SECONDS * RESTART_DELAY_FACTOR**excess)
