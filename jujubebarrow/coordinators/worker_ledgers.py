"""What the owner of a pool knows of one worker."""

from collections import OrderedDict

from jujubebarrow.coordinators.active_runs import ActiveRun
from jujubebarrow.coordinators.recorded_leases import RecordedLease
from jujubebarrow.placements.worker_scores import WorkerScore
from jujubebarrow.workloads.identifiers import RunNumber, WorkerId, WorkerLife
from jujubebarrow.workloads.resources import NOTHING, Resources
from jujubebarrow.workloads.task_keys import TaskKey
from jujubebarrow.workloads.worker_reports import WorkerEntry, WorkerState

CLOCK_RATE = 0.98
"""Slowest rate of a worker's clock; from the platform's contract."""
EXPIRY_MARGIN_SECONDS = 0.1
"""Seconds added to a lease before it is taken as over, for rounding and timers."""


class WorkerLedger:
    """One worker, its reservations and its lease.

    Args:
        worker: Id.
        expiry: Time in seconds at which leases of earlier owners have ended.
    """

    def __init__(self, worker: WorkerId, expiry: float):
        self.worker = worker
        self.entry: WorkerEntry | None = None
        self.born = 0
        self.address = ""
        self.runs: dict[tuple[TaskKey, RunNumber], ActiveRun] = {}
        self.score = WorkerScore()
        self.lease_end = expiry
        self.is_lease_recorded = False
        self.last_contact_at = 0.0
        self.failed_since = 0.0
        self.last_failure_at = 0.0
        self.acknowledged = 0
        self.draining_since = 0.0
        self.is_cordoned = False
        self.best_effort_speed_percent = 100
        self.warmed_up_at = 0.0
        self._unacknowledged_starts: dict[tuple[TaskKey, RunNumber], float] = {}
        self._clock_reading = 0.0
        self._clock_read_at: float | None = None
        self._finished_runs: OrderedDict[int, bool] = OrderedDict()
        self._reserved = NOTHING
        self._long_running_count = 0

    @property
    def life(self) -> WorkerLife:
        """Worker's present life as far as known."""
        return WorkerLife((self.worker, self.born))

    @property
    def capacity(self) -> Resources:
        """Resources in all."""
        return self.entry.capacity if self.entry else NOTHING

    @property
    def free(self) -> Resources:
        """Resources that nothing has reserved."""
        return self.capacity.minus(self._reserved)

    @property
    def reserved(self) -> Resources:
        """Resources of all runs that may be at work."""
        return self._reserved

    @property
    def has_long_running(self) -> bool:
        """Whether a long-running task may be at work here."""
        return self._long_running_count > 0

    @property
    def labels(self) -> tuple[str, ...]:
        """Kind and rack."""
        return self.entry.labels if self.entry else ()

    @property
    def is_contacted(self) -> bool:
        """Whether the worker has seen this owner's token in this life."""
        return self._clock_read_at is not None

    def takes_tasks(self, now: float) -> bool:
        """Return whether new tasks may be placed here."""
        entry = self.entry
        return (
            entry is not None
            and entry.state is WorkerState.READY
            and self.is_contacted
            and not self.is_cordoned
            and not self.failed_since
            and not self.score.is_paused(now)
        )

    def remaining_warmup(self, now: float) -> float:
        """Return for how many seconds the worker is still slow after its start."""
        if self.entry is None:
            return 0.0
        return max(0.0, self.warmed_up_at - now)

    def add_run(self, run: ActiveRun) -> None:
        """Reserve the resources of a run."""
        self.runs[run.task, run.run] = run
        self._reserved = self._reserved.plus(run.reserved)
        self._long_running_count += run.is_long_running

    def remove_run(self, run: ActiveRun) -> None:
        """Free the resources of a run that is over."""
        if self.runs.pop((run.task, run.run), None) is not None:
            self._reserved = self._reserved.minus(run.reserved)
            self._long_running_count -= run.is_long_running

    def record_unacknowledged_start(self, run: ActiveRun) -> None:
        """Note a start without an answer; it may be carried out late."""
        self._unacknowledged_starts[run.task, run.run] = run.late_start_until

    def prune_unacknowledged_starts(
        self, now: float
    ) -> list[tuple[TaskKey, RunNumber]]:
        """Return the starts that may still be carried out, by any later life."""
        self._unacknowledged_starts = {
            key: until
            for key, until in self._unacknowledged_starts.items()
            if until > now
        }
        return list(self._unacknowledged_starts)

    def restore_lease(self, recorded: RecordedLease) -> None:
        """Take over a lease on record; nobody gives another one meanwhile."""
        self.born = self.born or recorded.born
        self.lease_end = min(self.lease_end, recorded.ends)
        self.is_lease_recorded = True

    def reset_for_restart(self, born: int, expiry: float) -> None:
        """Forget what was known of an earlier life.

        Args:
            born: Unix time of the start of the new life in milliseconds.
            expiry: Time in seconds at which leases that others have given in the
                new life have ended.
        """
        if not self.is_lease_recorded:
            self.lease_end = max(self.lease_end, expiry) if not self.born else expiry
        self.born = born
        self.acknowledged = 0
        self._finished_runs.clear()
        self._clock_read_at = None
        self.score = WorkerScore()
        self.draining_since = 0.0
        self.is_cordoned = False

    def record_contact(self, clock: float, now: float, longest_lease: float) -> None:
        """Note an answer of the worker.

        Args:
            clock: Reading of its clock in seconds.
            now: Time in seconds.
            longest_lease: Longest lease in seconds that another owner may have
                given before this contact.
        """
        if self._clock_read_at is None and not self.is_lease_recorded:
            # A lease given before this contact cannot be longer than that.
            self.lease_end = now + longest_lease / CLOCK_RATE + EXPIRY_MARGIN_SECONDS
        self._clock_reading = clock
        self._clock_read_at = now
        self.last_contact_at = now
        self.failed_since = 0.0

    def issue_lease(self, now: float, length: float) -> float | None:
        """Return the end of a new lease on the worker's clock in seconds.

        Returns None if the worker has not answered yet, or while the end of its
        lease is on record.

        Args:
            now: Time in seconds.
            length: Length in seconds.
        """
        if self._clock_read_at is None or self.is_lease_recorded:
            return None
        deadline = self._clock_reading + (now - self._clock_read_at) + length
        latest = self._clock_read_at + (deadline - self._clock_reading) / CLOCK_RATE
        self.lease_end = max(self.lease_end, latest + EXPIRY_MARGIN_SECONDS)
        return deadline

    def is_lease_expired(self, now: float) -> bool:
        """Return whether every lease given in this life has certainly ended."""
        return now > self.lease_end

    def record_failure(self, now: float) -> None:
        """Note that the worker did not answer."""
        self.failed_since = self.failed_since or now
        self.last_failure_at = now

    @property
    def is_unreachable_after_lease(self) -> bool:
        """Whether it gave no answer after its leases had ended.

        A worker that can be reached again tells how its runs have ended; one that is
        no longer registered has no address to ask at.
        """
        return not self.address or self.last_failure_at > self.lease_end

    def record_finished(self, number: int) -> bool:
        """Note an end in the worker's list; return whether it is new."""
        if number <= self.acknowledged or number in self._finished_runs:
            return False
        self._finished_runs[number] = False
        return True

    def mark_recorded(self, number: int) -> None:
        """Note that an end is on record, so that it may be acknowledged."""
        if number in self._finished_runs:
            self._finished_runs[number] = True
        while self._finished_runs:
            first, recorded = next(iter(self._finished_runs.items()))
            if not recorded:
                break
            del self._finished_runs[first]
            self.acknowledged = first

    @property
    def has_unrecorded_ends(self) -> bool:
        """Whether an end waits to be put on record."""
        return bool(self._finished_runs)
