"""State of one worker as seen by the owner of its pool."""

from collections import OrderedDict

from jujubebarrow.coordinators.active_runs import ActiveRun, RunStage
from jujubebarrow.coordinators.late_start_records import LateStartRecord, StepKey
from jujubebarrow.coordinators.late_starts import LateStarts, RunKey
from jujubebarrow.coordinators.lease_books import LeaseBook
from jujubebarrow.coordinators.recorded_leases import RecordedLease
from jujubebarrow.placements.worker_scores import WorkerScore
from jujubebarrow.workloads.identifiers import (
    FenceToken,
    RunNumber,
    WorkerId,
    WorkerIncarnation,
)
from jujubebarrow.workloads.resources import NO_RESOURCES, Resources
from jujubebarrow.workloads.task_keys import TaskKey
from jujubebarrow.workloads.worker_reports import WorkerEntry, WorkerState

CLOCK_RATE = 0.98
"""Lowest rate of a worker's clock relative to real time, by the platform's contract."""
EXPIRY_MARGIN_SECONDS = 0.1
"""Time added to a lease before the lease counts as expired, for rounding and timer
delays."""
REORDERING_SECONDS = 1.0
"""Time by which a response may be older than one that has overtaken it."""
CONTACT_AGE_LIMIT_SECONDS = 0.6
"""Age up to which a response shows that a worker has not restarted since; longer than
the time between two responses of a worker with finite runs."""
OPEN_RENEWAL_LIMIT_SECONDS = 2.0
"""Time for which a renewal without a result shows that its connection is open; the
longest wait for a run to finish, and a slow response."""
UNKNOWN_START_MS = 0
"""Start time in the registration of a worker whose start is not known."""
NEVER = float("-inf")
"""Time in seconds of what has not happened."""


class WorkerView:
    """State of a worker with its runs, reservations and lease.

    The lease limits how long the worker may execute runs without a renewal by the
    pool's owner.

    Args:
        worker: Id of the worker.
        expiry: Time in seconds at which the leases of former owners have expired if
            none of their orders was executed late.
        token: Fencing token of the orders to the present incarnation.
        latest_expiry: Time in seconds at which these leases have expired in any case.
    """

    def __init__(
        self,
        worker: WorkerId,
        expiry: float,
        token: FenceToken,
        latest_expiry: float = 0.0,
    ):
        self.worker = worker
        self.token = token
        self._first_token = token
        self._open_acknowledgements: set[float] = set()
        self._entry: WorkerEntry | None = None
        self.started_at_ms = 0
        self.address = ""
        self.runs: dict[tuple[TaskKey, RunNumber], ActiveRun] = {}
        self.score = WorkerScore()
        self._leases = LeaseBook(expiry, latest_expiry)
        self.is_lease_recorded = False
        self._refused_token: FenceToken | None = None
        self.needs_higher_token = False
        self._recorded_start_ms = 0
        self.lease_issued_at: float | None = None
        self.last_contact_at: float | None = None
        self._open_renewal_at: float | None = None
        self._lost_start_sent_at = float("-inf")
        self.needs_contact = False
        self._absent_at = NEVER
        self.unresponsive_since = 0.0
        self.last_failure_at = float("-inf")
        self.acknowledged = 0
        self._confirmed_acknowledgement = 0
        self._held_ends: set[int] = set()
        self.completely_reported_at = NEVER
        self.draining_since = 0.0
        self.is_cordoned = False
        self.best_effort_speed_percent = 100
        self.warmed_up_at = 0.0
        self.has_orphans = False
        self.lists_all_ends = True
        self._late_starts = LateStarts()
        self._clock_reading = 0.0
        self._clock_read_at: float | None = None
        self._finished_runs: OrderedDict[int, bool] = OrderedDict()
        self._reserved = NO_RESOURCES
        self._free = NO_RESOURCES
        self._long_running_count = 0
        self._long_running = NO_RESOURCES
        self._unproven_suspects: set[tuple[TaskKey, RunNumber]] = set()

    @property
    def lease_end(self) -> float:
        """Time in seconds at which all leases of the incarnation are certainly over."""
        return self._leases.end

    @property
    def timely_lease_end(self) -> float:
        """Time in seconds at which they are over if no order is executed late."""
        return self._leases.timely_end

    @property
    def has_unanswered_lease(self) -> bool:
        """Whether an order that grants a lease has got no response."""
        return self._leases.has_unanswered

    @property
    def incarnation(self) -> WorkerIncarnation:
        """Last known incarnation of the worker."""
        return WorkerIncarnation((self.worker, self.started_at_ms))

    @property
    def entry(self) -> WorkerEntry | None:
        """Registration of the worker; None while the worker is not registered."""
        return self._entry

    @entry.setter
    def entry(self, entry: WorkerEntry | None) -> None:
        self._entry = entry
        self._update_free()

    @property
    def capacity(self) -> Resources:
        """Total resources of the worker; none while the worker is not registered."""
        return self.entry.capacity if self.entry else NO_RESOURCES

    @property
    def free(self) -> Resources:
        """Resources for further runs; negative after a reduction.

        A further run has to fit beside the present runs, and beside the late starts
        that the next incarnation may execute.
        """
        return self._free

    @property
    def unreserved(self) -> Resources:
        """Resources that are not reserved by runs, whatever may be started late."""
        return self.capacity.minus(self._reserved)

    @property
    def is_over_capacity(self) -> bool:
        """Whether the runs need more than a reduced capacity."""
        return self._entry is not None and min(self.unreserved) < 0

    @property
    def reserved(self) -> Resources:
        """Resources reserved by runs that may still be executing."""
        return self._reserved

    @property
    def capacity_for_finite_cpu(self) -> int:
        """Capacity in thousandths of a core that long-running tasks leave."""
        return max(0, self.capacity.cpu - self._long_running.cpu)

    @property
    def capacity_for_finite_runs(self) -> Resources:
        """Resources that long-running tasks leave."""
        return self.capacity.minus(self._long_running)

    @property
    def has_long_running(self) -> bool:
        """Whether a long-running task may still be executing on the worker."""
        return self._long_running_count > 0

    @property
    def has_unproven_suspect(self) -> bool:
        """Whether a run may crash the worker; no other may start then."""
        return bool(self._unproven_suspects)

    @property
    def labels(self) -> tuple[str, ...]:
        """Labels of the worker, such as its kind and its rack."""
        return self.entry.labels if self.entry else ()

    @property
    def has_seen_token(self) -> bool:
        """Whether the present incarnation has seen the token of the orders to it."""
        return self._clock_read_at is not None

    def is_present_token(self, token: FenceToken) -> bool:
        """Return whether orders with a token were made for the present incarnation."""
        return self._first_token <= token <= self.token

    @property
    def has_open_acknowledgement(self) -> bool:
        """Whether a later incarnation may execute a renewal with the present token.

        Only renewals that acknowledge ends count: their position is that of the present
        incarnation, and a later one would apply it to its own ends.
        """
        return bool(self._open_acknowledgements)

    @property
    def is_refusing(self) -> bool:
        """Whether the worker has seen a higher token than that of the orders to it."""
        return self._refused_token == self.token

    def can_accept_tasks(self, now: float) -> bool:
        """Return whether new tasks may be placed on the worker."""
        return self.is_available and not self.score.is_paused(now)

    @property
    def is_entry_present(self) -> bool:
        """Whether the registration is that of the present incarnation.

        A new incarnation may have another capacity and other labels.
        """
        return self.entry is not None and self.entry.started_at_ms in (
            UNKNOWN_START_MS,
            self.started_at_ms,
        )

    def has_label(self, label: str) -> bool:
        """Return whether the worker has a label; any worker has the empty one."""
        return not label or label in self.labels

    @property
    def is_available(self) -> bool:
        """Whether the worker accepts tasks, unless recent failures have paused it."""
        entry = self.entry
        return (
            entry is not None
            and entry.state is WorkerState.READY
            and self.is_entry_present
            and self.has_seen_token
            and not self.has_orphans
            and not self.is_cordoned
            and not self.unresponsive_since
        )

    def remaining_warmup(self, now: float) -> float:
        """Return the seconds for which the worker is still slow after its start."""
        if self.entry is None:
            return 0.0
        return max(0.0, self.warmed_up_at - now)

    def add_run(self, run: ActiveRun) -> None:
        """Reserve the resources of a run."""
        run.is_absent = False
        self.runs[run.task, run.run] = run
        self._reserved = self._reserved.plus(run.reserved)
        if run.stage is not RunStage.CONFIRMED:
            self._late_starts.open_run(run)
        self._update_free()
        if run.is_long_running:
            self._long_running_count += 1
            self._long_running = self._long_running.plus(run.reserved)
        if run.is_suspect and not run.is_proven:
            self._unproven_suspects.add((run.task, run.run))

    def remove_run(self, run: ActiveRun, now: float) -> None:
        """Release the resources of a run that has ended."""
        if self.runs.pop((run.task, run.run), None) is not None:
            if not run.is_absent:
                self._reserved = self._reserved.minus(run.reserved)
            self._late_starts.close_run(run, now)
            self._update_free()
            if run.is_long_running:
                self._long_running_count -= 1
                self._long_running = self._long_running.minus(run.reserved)
            self._unproven_suspects.discard((run.task, run.run))

    def record_absent_run(self, run: ActiveRun) -> None:
        """Record that only a later incarnation may execute a run."""
        if run.is_absent:
            return
        run.is_absent = True
        self._reserved = self._reserved.minus(run.reserved)
        self._unproven_suspects.discard((run.task, run.run))
        self._late_starts.open_run(run)
        self._update_free()

    def _record_present_run(self, run: ActiveRun) -> None:
        """Record that the present incarnation may execute a run after all."""
        if run.is_absent:
            run.is_absent = False
            self._reserved = self._reserved.plus(run.reserved)
            self._update_free()
            if run.is_suspect and not run.is_proven:
                self._unproven_suspects.add((run.task, run.run))

    def _update_free(self) -> None:
        present = self.unreserved
        next_ = self.capacity.minus(self._late_starts.reserved)
        self._free = Resources(*map(min, zip(present, next_, strict=True)))

    def prove_run(self, run: ActiveRun) -> None:
        """Record that the worker has survived the start of a run."""
        run.is_proven = True
        if not run.is_isolated:
            self._unproven_suspects.discard((run.task, run.run))

    def record_start_sent(self, run: ActiveRun) -> None:
        """Record that a start order is sent, which has no result yet."""
        self._late_starts.record_sent(run)
        self._update_free()

    def record_start_result(self, run: ActiveRun, now: float) -> None:
        """Record that a start order has got a result or was not sent after all."""
        self._late_starts.record_result(run, now)
        self._update_free()

    def record_lost_start(self, sent_at: float) -> None:
        """Record when a start was sent that got no response."""
        self._lost_start_sent_at = max(self._lost_start_sent_at, sent_at)

    def record_unacknowledged_start(self, run: ActiveRun, now: float) -> None:
        """Record an unacknowledged start, which the worker may execute late."""
        self._late_starts.record_unacknowledged(run, now)
        self._update_free()

    def keep_former_start(self, run: ActiveRun, end: float, now: float) -> None:
        """Keep capacity for a run that a former owner may have started."""
        self._late_starts.keep_former_start(run, end, now)
        self._update_free()

    def record_known_run(self, run: ActiveRun, now: float) -> None:
        """Record that the worker has acknowledged or listed a run."""
        self._record_present_run(run)
        if self._late_starts.close_run(run, now):
            self._update_free()

    def find_late_start_end(self, task: TaskKey) -> float:
        """Return until when an unacknowledged start of a task may be executed.

        Any task may have had one by a former owner of the pool.

        Returns:
            Time in seconds; 0 if there is no such start.
        """
        return self._late_starts.find_end(task)

    @property
    def late_starts_end(self) -> float:
        """Time in seconds until which the worker may execute unacknowledged starts."""
        return self._late_starts.end

    @property
    def last_late_start_end(self) -> float:
        """Time in seconds until which it could execute these, also in the past."""
        return self._late_starts.last_end

    @property
    def has_start_in_flight(self) -> bool:
        """Whether a start order has got no result yet."""
        return self._late_starts.has_in_flight

    def record_absence(self, time: float) -> None:
        """Record that no machine ran the worker at a time in seconds."""
        self._absent_at = max(self._absent_at, time)

    @property
    def is_absent(self) -> bool:
        """Whether the worker is not registered and no machine ran it lately."""
        return self.entry is None and self._absent_at > NEVER

    def was_absent_after(self, time: float) -> bool:
        """Return whether no machine ran the worker at some time after another one.

        What the worker had begun before has ended. A worker that is registered may have
        started again since.

        Args:
            time: Time in seconds.
        """
        return self.entry is None and self._absent_at > time

    def may_start_late(self, now: float) -> bool:
        """Return whether the next incarnation may execute a start that was sent."""
        return self.late_starts_end > now or self._late_starts.has_in_flight

    @property
    def late_starts_reserved(self) -> Resources:
        """Resources needed by all runs that the next incarnation may start."""
        return self._late_starts.reserved

    def may_start_step_late(self, step: StepKey, now: float) -> bool:
        """Return whether the next incarnation may start a task of a step.

        Args:
            step: Step of a job.
            now: Time in seconds.
        """
        return self._late_starts.may_contain(step, now)

    def count_late_starts(self, step: StepKey) -> int:
        """Return how many runs of a step the next incarnation may start."""
        return self._late_starts.count(step)

    def make_late_start_record(self, now: float) -> LateStartRecord:
        """Return the unacknowledged starts that a later owner has to know."""
        return self._late_starts.make_record(now)

    def set_former_owners_starts(self, record: LateStartRecord) -> None:
        """Set the unacknowledged starts of former owners of the pool."""
        self._late_starts.set_former_owners_starts(record)
        self._update_free()

    def prune_unacknowledged_starts(self, now: float) -> list[RunKey]:
        """Drop starts that can no longer be executed; return the remaining ones.

        The remaining unacknowledged starts may still be executed by the present or any
        later incarnation of the worker.
        """
        former = self._late_starts.reserved
        remaining = self._late_starts.prune(now)
        if self._late_starts.reserved != former:
            self._update_free()
        return remaining

    def restore_lease(self, recorded: RecordedLease) -> None:
        """Restore a stored lease; no new lease is issued while the record is stored.

        The record of a former incarnation does not tell when the present one's lease
        expires.
        """
        self.started_at_ms = self.started_at_ms or recorded.started_at_ms
        self._recorded_start_ms = recorded.started_at_ms
        self.is_lease_recorded = True
        if self._is_expiry_recorded:
            self._leases.limit(recorded.expires_at, recorded.latest_expiry)

    @property
    def _is_expiry_recorded(self) -> bool:
        """Whether the store has the lease expiry of the present incarnation."""
        return self.is_lease_recorded and self._recorded_start_ms == self.started_at_ms

    def reset_for_restart(
        self, started_at_ms: int, expiry: float, token: FenceToken
    ) -> None:
        """Reset the state that belongs to the previous incarnation.

        Args:
            started_at_ms: Unix time of the restart in milliseconds.
            expiry: Time in seconds at which leases that other owners issued to the
                new incarnation have expired.
            token: Fencing token of the orders to the new incarnation.
        """
        self._set_first_token(token)
        for run in self.runs.values():
            self._record_present_run(run)
        if self.is_lease_recorded:
            self._leases = LeaseBook(self.timely_lease_end, self.lease_end)
        elif self.started_at_ms:
            self._leases = LeaseBook(expiry)
        else:
            self._leases.extend(expiry)
        self.started_at_ms = started_at_ms
        self.acknowledged = 0
        self._confirmed_acknowledgement = 0
        self._held_ends.clear()
        self.completely_reported_at = NEVER
        self._finished_runs.clear()
        self._clock_read_at = None
        self.has_orphans = False
        self.lists_all_ends = True
        self._absent_at = NEVER
        self.score = WorkerScore()
        self.draining_since = 0.0
        self.is_cordoned = False
        self.needs_contact = False
        self.best_effort_speed_percent = 100

    def extend_expiry(self, expiry: float) -> None:
        """Let the lease expire no earlier than at a time, unless the store knows it.

        Args:
            expiry: Time in seconds.
        """
        if not self._is_expiry_recorded:
            self._leases.extend(expiry)

    def record_report(
        self, has_orphans: bool, lists_all_ends: bool, sent_at: float
    ) -> None:
        """Record what the present incarnation has listed.

        Args:
            has_orphans: Whether runs were listed that no owner has recorded; they need
                resources until they are stopped.
            lists_all_ends: Whether there are no further finished runs.
            sent_at: Time in seconds at which the report was requested.
        """
        self.has_orphans = has_orphans
        self.lists_all_ends = lists_all_ends
        if lists_all_ends:
            self.completely_reported_at = sent_at

    @property
    def has_reported(self) -> bool:
        """Whether the present incarnation has listed all of its runs and ends."""
        return self.completely_reported_at > NEVER

    def record_contact(self, clock: float, now: float, longest_lease: float) -> None:
        """Record a report of the present incarnation, which has seen its token.

        Args:
            clock: Reading of the worker's clock in seconds.
            now: Time in seconds.
            longest_lease: Longest lease in seconds that the worker may have been
                granted by other orders before the response.
        """
        if self._clock_read_at is None:
            # The worker has seen the token and rejects the orders of former owners and
            # to former incarnations, and all that got no response, from now on.
            if self._is_expiry_recorded:
                self._leases = LeaseBook(self.timely_lease_end, self.lease_end)
            else:
                length = longest_lease / CLOCK_RATE + EXPIRY_MARGIN_SECONDS
                self._leases = LeaseBook(now + length)
        self._clock_reading = clock
        self._clock_read_at = now
        self.last_contact_at = now
        self.needs_contact = False
        self._absent_at = NEVER
        self.unresponsive_since = 0.0

    def begin_renewal(self, now: float) -> None:
        """Record that a lease renewal is sent, which has no result yet."""
        self._open_renewal_at = now

    def end_renewal(self) -> None:
        """Record that the lease renewal under way has got a result."""
        self._open_renewal_at = None

    def is_contact_recent(self, now: float) -> bool:
        """Return whether the worker has responded shortly before.

        A response counts for as long as the next renewal is under way, since a worker
        that crashes closes the connection, and until a later start gets no response.
        """
        if self.last_contact_at is None:
            return False
        if self.last_contact_at < self._lost_start_sent_at:
            return False
        checked_at = now if self._open_renewal_at is None else self._open_renewal_at
        if now - checked_at > OPEN_RENEWAL_LIMIT_SECONDS:
            return False
        return checked_at - self.last_contact_at <= CONTACT_AGE_LIMIT_SECONDS

    def record_response(self, clock: float, now: float) -> None:
        """Record a response to an order, which does not tell the incarnation.

        A clock that has gone back shows a restart. The worker counts as unresponsive
        then until it reports.

        Args:
            clock: Reading of the worker's clock in seconds.
            now: Time in seconds.
        """
        if self._clock_read_at is None:
            self.last_contact_at = now
            return
        elapsed = CLOCK_RATE * (now - self._clock_read_at)
        if clock >= self._clock_reading + elapsed - REORDERING_SECONDS:
            self.last_contact_at = now
        if clock < self._clock_reading - REORDERING_SECONDS:
            self.record_failure(now)
        elif clock > self._clock_reading:
            self._clock_reading = clock
            self._clock_read_at = now

    def issue_lease(
        self, now: float, length: float, late_order_window: float = 0.0
    ) -> float | None:
        """Issue a lease; return its end in seconds on the worker's clock.

        Returns None if the worker has not responded yet, or while the expiry of its
        lease is stored.

        Args:
            now: Time in seconds.
            length: Length of the lease in seconds.
            late_order_window: Time in seconds for which the order may be executed
                unless it gets a response.
        """
        if self._clock_read_at is None or self.is_lease_recorded:
            return None
        self.lease_issued_at = now
        deadline = self._clock_reading + (now - self._clock_read_at) + length
        latest = self._clock_read_at + (deadline - self._clock_reading) / CLOCK_RATE
        self._leases.issue(
            now,
            latest + EXPIRY_MARGIN_SECONDS,
            length / CLOCK_RATE + EXPIRY_MARGIN_SECONDS,
            now + late_order_window,
        )
        return deadline

    def record_answer(self, sent_at: float) -> None:
        """Record that an order got its response or was not executed.

        Args:
            sent_at: Time in seconds at which the order was sent.
        """
        self._leases.settle(sent_at)

    def is_lease_expired(self, now: float) -> bool:
        """Return whether all leases of the present incarnation are certainly over."""
        return now > self.lease_end

    def record_refusal(self, now: float) -> None:
        """Record that the worker has seen a higher token and executes no order."""
        self._refused_token = self.token
        self.record_failure(now)

    def replace_token(self, token: FenceToken) -> None:
        """Set a higher token, which the present incarnation has not seen yet."""
        self._set_first_token(token)
        self._clock_read_at = None

    def raise_token(self, token: FenceToken) -> None:
        """Set a higher token for the next orders to the present incarnation.

        Orders with the former token still are for this incarnation. The worker rejects
        those that it executes after an order with the higher one.
        """
        self.token = token
        self._open_acknowledgements.clear()

    def _set_first_token(self, token: FenceToken) -> None:
        self.token = self._first_token = token
        self._open_acknowledgements.clear()

    def record_failure(self, now: float) -> None:
        """Record that the worker did not respond."""
        self.unresponsive_since = self.unresponsive_since or now
        self.last_failure_at = now

    @property
    def is_unreachable_after_lease(self) -> bool:
        """Whether the worker failed to respond after its leases had expired.

        A worker that responds again reports how its runs ended, so its runs are not
        given up while a response may still come. A worker without a known address
        cannot be polled and counts as unreachable, as does one that refuses all orders.
        """
        return self._is_unreachable_after(self.lease_end)

    def is_lost_after_timely_lease(self, now: float) -> bool:
        """Return whether the worker is lost if none of its orders is executed late.

        Args:
            now: Time in seconds.
        """
        return now > self.timely_lease_end and self._is_unreachable_after(
            self.timely_lease_end
        )

    def _is_unreachable_after(self, lease_end: float) -> bool:
        return not self.address or self.is_refusing or self.last_failure_at > lease_end

    def record_finished(self, number: int) -> bool:
        """Record a listed finished run; return whether the entry is new."""
        if number <= self.acknowledged or number in self._finished_runs:
            return False
        self._finished_runs[number] = False
        return True

    def mark_recorded(self, number: int) -> None:
        """Mark a finished run as stored and advance the acknowledged position."""
        if number in self._finished_runs:
            self._finished_runs[number] = True
        while self._finished_runs:
            first, recorded = next(iter(self._finished_runs.items()))
            if not recorded:
                break
            del self._finished_runs[first]
            self.acknowledged = first

    @property
    def has_unconfirmed_acknowledgement(self) -> bool:
        """Whether the incarnation may still list ends that may be acknowledged."""
        return self.acknowledgeable > self._confirmed_acknowledgement

    @property
    def acknowledgeable(self) -> int:
        """Position of the last end that is stored, as are all before, and not held."""
        if not self._held_ends:
            return self.acknowledged
        return min(self.acknowledged, min(self._held_ends) - 1)

    def hold_acknowledgement(self, number: int) -> None:
        """Acknowledge no end from a position on until the position is released."""
        self._held_ends.add(number)

    def release_acknowledgement(self, number: int) -> None:
        """Let a position that was held be acknowledged."""
        self._held_ends.discard(number)

    def record_acknowledgement_sent(self, sent_at: float) -> None:
        """Record that a renewal is sent that acknowledges ends.

        Args:
            sent_at: Time in seconds.
        """
        self._open_acknowledgements.add(sent_at)

    def record_renewal_answer(self, sent_at: float) -> None:
        """Record that a renewal got its response and that no copy of it is open.

        Args:
            sent_at: Time in seconds at which the renewal was sent.
        """
        self.record_answer(sent_at)
        self._open_acknowledgements.discard(sent_at)

    def confirm_acknowledgement(self, position: int) -> None:
        """Record that the incarnation has received an acknowledged position."""
        self._confirmed_acknowledgement = max(self._confirmed_acknowledgement, position)

    @property
    def has_unrecorded_finished_runs(self) -> bool:
        """Whether a finished run is not stored yet."""
        return bool(self._finished_runs)
