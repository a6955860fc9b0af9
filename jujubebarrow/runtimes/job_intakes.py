"""Accepts, reports and cancels callers' jobs on any instance."""

from asyncio import sleep, wait_for
from collections import defaultdict, deque
from collections.abc import Callable
from typing import Any
from uuid import uuid4

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.job_progresses import PHASE_KEY
from jujubebarrow.errors.exceptions import (
    InvalidCallError,
    RefusalError,
    StoreError,
    TransactionConflictError,
)
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.errors.run_states import RunState
from jujubebarrow.fleets.queue_routes import QueueRoute
from jujubebarrow.identifiers import UNNAMED_REQUEST, JobId, QueueId, RequestId, TeamId
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.cancellation_sweepers import RETENTION_SECONDS
from jujubebarrow.runtimes.job_row_keys import (
    make_cancellation_key,
    make_job_key,
    make_load_use_key,
    make_progress_key,
    make_unknown_cancellation_key,
    make_use_key,
)
from jujubebarrow.runtimes.job_watchers import read_job
from jujubebarrow.runtimes.pending_counters import PendingCounter
from jujubebarrow.stores.rows import Row
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import ABSENT_REVISION, Transaction
from jujubebarrow.workloads.job_phases import JobPhase
from jujubebarrow.workloads.job_records import JobRecord
from jujubebarrow.workloads.job_submissions import JobSubmission

STORE_RETRY_SECONDS = 1.0
"""Value of Retry-After while the store does not answer; outages of the store last a few
seconds."""
SUBMIT_SECONDS = 0.6
"""Time for which a submission is sent to a store that fails; five such attempts of a
caller last as long as its usual deadline of 3 s."""
SUBMIT_PAUSE_SECONDS = 0.2
"""Pause before a submission is sent to the store again, several times the store's
usual response time."""
CANCEL_ATTEMPTS = 3
"""Attempts to cancel a job whose rows other writers change at the same time."""
UNKNOWN_CANCEL_LIMIT = 100
"""Cancellations of unknown jobs that an instance stores for a team in the time for
which they are kept; more than callers give up while the store fails."""


class JobIntake:
    """Accepts, reports and cancels callers' jobs.

    Args:
        store: Store that holds the jobs.
        find_phase: Returns the stored phase of a queue's job in a pool that this
            instance owns, or None for any other job.
        clock: Time source.
        log: Decision log.
        metrics: Registry of the counters.
        row_limit: Largest value of a stored row in bytes.
    """

    def __init__(
        self,
        store: Store,
        find_phase: Callable[[QueueId, JobId], JobPhase | None],
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
        row_limit: int,
    ):
        self._row_limit = row_limit
        self._store = store
        self._find_phase = find_phase
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._pending_counter = PendingCounter(store, clock, log, metrics)
        self._marked_uses: set[str] = set()
        # Times in seconds of each team's recent cancellations of unknown jobs.
        self._unknown_cancels: dict[TeamId, deque[float]] = defaultdict(deque)

    async def submit(
        self,
        route: QueueRoute,
        team: TeamId,
        job: JobId,
        submission: JobSubmission,
        timeout: float,
        request: RequestId = UNNAMED_REQUEST,
        may_be_repeated: bool = True,
    ) -> None:
        """Store a job, which thereby counts as accepted.

        Submitting the same job id again succeeds without creating a second job.

        Args:
            route: Route of the queue.
            team: Team that the caller's key belongs to; empty on a queue open to all.
            job: Id chosen by the caller.
            submission: Steps, payload and schedule of the job.
            timeout: Longest time in seconds to wait for the store.
            request: Id of the caller's request, for the log.
            may_be_repeated: Whether the caller may have submitted this id before.

        Raises:
            RefusalError: The job was not accepted, or whether the job was stored is
                unknown.
        """
        error_text = submission.find_error()
        if error_text:
            raise RefusalError(ErrorKind.BAD_REQUEST, error_text)
        if self._find_phase(route.queue, job) is not None:
            self._log_repeat(request, route, job)
            return
        record = _make_record(route, team, job, submission, self._clock.wall())
        error_text = record.find_size_error(self._row_limit)
        if error_text:
            raise RefusalError(ErrorKind.NEVER_RUNS, error_text)
        writes: dict[str, dict[str, Any] | None] = {
            make_job_key(route.queue, job): record.to_document()
        }
        use_key = make_use_key(route.queue, route.pool)
        if use_key not in self._marked_uses:
            writes[use_key] = {}
            writes[make_load_use_key(route.queue, route.pool)] = {}
        job_key = make_job_key(route.queue, job)
        cancellation_key = make_unknown_cancellation_key(route.queue, job, team)
        transaction = Transaction(
            conditions=dict.fromkeys((job_key, cancellation_key), ABSENT_REVISION),
            writes=writes,
            nonce=uuid4().hex,
        )
        started_at = self._clock.monotonic()
        failures: list[str] = []
        try:
            await wait_for(self._commit(transaction, failures), timeout)
        except TransactionConflictError as error:
            if job_key not in error.keys:
                refusal = RefusalError(ErrorKind.CANCELLED, "before it was stored")
                self._log_refusal(request, route, job, refusal, failures, started_at)
                raise refusal from error
            self._log_repeat(request, route, job)
            return
        except StoreError as error:
            refusal = _make_refusal(error, may_be_repeated)
            self._log_refusal(request, route, job, refusal, failures, started_at)
            raise refusal from error
        except TimeoutError as error:
            refusal = RefusalError(ErrorKind.RUN_UNKNOWN, "store", 0.5)
            failures.append("no time left")
            self._log_refusal(request, route, job, refusal, failures, started_at)
            raise refusal from error
        self._marked_uses.add(use_key)
        self._log.write(
            "job_accepted",
            request=request,
            job=job,
            queue=route.queue,
            pool=route.pool,
            team=team,
            steps=[step.count for step in submission.steps],
        )

    async def _commit(self, transaction: Transaction, failures: list[str]) -> None:
        """Commit a transaction; repeat it for a short time while the store fails.

        Args:
            transaction: Transaction that stores a job.
            failures: Gets the results of the failed attempts.
        """
        deadline = self._clock.monotonic() + SUBMIT_SECONDS
        is_uncertain = False
        commit = self._store.commit
        while True:
            try:
                await commit(transaction)
                return
            except StoreError as error:
                is_uncertain = is_uncertain or error.may_have_applied
                failures += error.attempts
                is_final = isinstance(error, InvalidCallError)
                if is_final and not is_uncertain:
                    raise
                if is_final or self._clock.monotonic() > deadline:
                    raise StoreError(str(error), is_uncertain) from error
                self._metrics.count("retry", "submit")
                await sleep(SUBMIT_PAUSE_SECONDS)
                # A store that fails for longer than a moment gets one call a pause.
                commit = self._store.commit_once

    def _log_repeat(self, request: RequestId, route: QueueRoute, job: JobId) -> None:
        self._metrics.count("job_repeated", route.queue)
        self._log.write("job_repeated", request=request, job=job, queue=route.queue)

    def _log_refusal(
        self,
        request: RequestId,
        route: QueueRoute,
        job: JobId,
        refusal: RefusalError,
        attempts: list[str],
        started_at: float,
    ) -> None:
        self._log.write(
            "job_refused",
            request=request,
            job=job,
            queue=route.queue,
            reason=refusal.kind.value,
            run=refusal.run.value,
            seconds=round(self._clock.monotonic() - started_at, 3),
            attempts=attempts,
        )

    async def read_phase(self, route: QueueRoute, team: TeamId, job: JobId) -> JobPhase:
        """Return the phase of an accepted job.

        Raises:
            RefusalError: The job does not exist, or the store does not answer.
        """
        phase = self._find_phase(route.queue, job)
        if phase is not None:
            return phase
        try:
            document = await self._read_value(make_progress_key(route.queue, job))
            if document is not None:
                return JobPhase(document[PHASE_KEY])
            _, record, is_cancelled = await self._read_job(route, job)
        except StoreError as error:
            raise RefusalError(
                ErrorKind.STORE_UNAVAILABLE, str(error), STORE_RETRY_SECONDS
            ) from error
        if record is None:
            raise RefusalError(ErrorKind.NOT_FOUND, job)
        if record.outcome is not None:
            return record.outcome
        return JobPhase.CANCELLED if is_cancelled else JobPhase.QUEUED

    async def _read_value(self, key: str) -> dict[str, Any] | None:
        found = await self._store.read(key)
        return next((row.value for row in found.rows if row.key == key), None)

    async def _read_job(
        self, route: QueueRoute, job: JobId
    ) -> tuple[Row | None, JobRecord | None, bool]:
        key = make_job_key(route.queue, job)
        found = await self._store.read(key)
        row = next((row for row in found.rows if row.key == key), None)
        record = read_job(row, self._metrics) if row is not None else None
        cancellation_key = make_cancellation_key(route.queue, job)
        return row, record, any(row.key == cancellation_key for row in found.rows)

    async def cancel(
        self,
        route: QueueRoute,
        team: TeamId,
        job: JobId,
        request: RequestId = UNNAMED_REQUEST,
    ) -> None:
        """Store the cancellation of a job; a closed job keeps its final phase.

        The cancellation of an unknown job is stored as well before the caller is told
        that there is none: an earlier submission without a response may still be
        applied by the store.

        Args:
            route: Route of the queue.
            team: Team that the caller's key belongs to.
            job: Id of the job.
            request: Id of the caller's request, for the log.

        Raises:
            RefusalError: The team has no such job, and none will be stored; the store
                does not answer; whether the cancellation was stored is unknown; or the
                team cancels too many unknown jobs.
        """
        for _ in range(CANCEL_ATTEMPTS):
            try:
                if await self._try_cancel(route, team, job, request):
                    return
            except TransactionConflictError:
                self._metrics.count("retry", "cancel")
            except StoreError as error:
                raise RefusalError(
                    ErrorKind.RUN_UNKNOWN, str(error), STORE_RETRY_SECONDS
                ) from error
        raise RefusalError(ErrorKind.RUN_UNKNOWN, job, STORE_RETRY_SECONDS)

    async def _try_cancel(
        self, route: QueueRoute, team: TeamId, job: JobId, request: RequestId
    ) -> bool:
        row, record, is_cancelled = await self._read_job(route, job)
        if row is None:
            await self._cancel_unknown(route, team, job, request)
            raise RefusalError(ErrorKind.NOT_FOUND, job)
        if record is None or record.team != team:
            raise RefusalError(ErrorKind.NOT_FOUND, job)
        if is_cancelled or record.outcome is not None:
            return True
        cancellation_key = make_cancellation_key(route.queue, job)
        transaction = Transaction(
            conditions={row.key: row.revision, cancellation_key: ABSENT_REVISION},
            writes={cancellation_key: {"at": self._clock.wall()}},
            nonce=uuid4().hex,
        )
        await self._store.commit(transaction)
        self._log.write(
            "job_cancel_stored", request=request, job=job, queue=route.queue
        )
        return True

    async def _cancel_unknown(
        self, route: QueueRoute, team: TeamId, job: JobId, request: RequestId
    ) -> None:
        """Keep a job of a team from being stored for some time."""
        self._check_unknown_cancels(team)
        key = make_unknown_cancellation_key(route.queue, job, team)
        found = await self._store.read(key)
        revision = next(
            (row.revision for row in found.rows if row.key == key), ABSENT_REVISION
        )
        transaction = Transaction(
            conditions={
                make_job_key(route.queue, job): ABSENT_REVISION,
                key: revision,
            },
            writes={key: {}},
            nonce=uuid4().hex,
        )
        await self._store.commit(transaction)
        self._unknown_cancels[team].append(self._clock.monotonic())
        self._metrics.count("unknown_job_cancelled", route.queue)
        self._log.write(
            "unknown_job_cancelled",
            request=request,
            job=job,
            queue=route.queue,
            team=team,
        )

    def _check_unknown_cancels(self, team: TeamId) -> None:
        """Refuse to cancel an unknown job while a team's recent ones fill the store.

        Raises:
            RefusalError: The team has cancelled too many unknown jobs.
        """
        now = self._clock.monotonic()
        times = self._unknown_cancels[team]
        while times and now - times[0] > RETENTION_SECONDS:
            times.popleft()
        if len(times) >= UNKNOWN_CANCEL_LIMIT:
            wait = times[0] + RETENTION_SECONDS - now
            detail = f"{len(times)} unknown jobs cancelled"
            raise RefusalError(ErrorKind.TEAM_LIMIT, detail, wait)

    async def count_pending(self, route: QueueRoute) -> int:
        """Return the number of a queue's accepted jobs without a started task.

        Raises:
            RefusalError: The store does not answer.
        """
        try:
            return await self._pending_counter.count(route)
        except StoreError as error:
            raise RefusalError(
                ErrorKind.STORE_UNAVAILABLE, str(error), STORE_RETRY_SECONDS
            ) from error


def _make_record(
    route: QueueRoute,
    team: TeamId,
    job: JobId,
    submission: JobSubmission,
    now: float,
) -> JobRecord:
    return JobRecord(
        job=job,
        queue=route.queue,
        pool=route.pool,
        team=team,
        accepted=round(now, 3),
        payload=submission.payload,
        steps=submission.steps,
        first_start=submission.first_start,
        interval=submission.interval,
        occurrences=submission.occurrences,
        target=route.target,
        stretch=route.stretch,
        attempts=route.attempts,
        priority=route.priority,
    )


def _make_refusal(error: StoreError, may_be_repeated: bool) -> RefusalError:
    if isinstance(error, InvalidCallError):
        return RefusalError(ErrorKind.NEVER_RUNS, str(error))
    if error.may_have_applied:
        return RefusalError(ErrorKind.RUN_UNKNOWN, str(error), STORE_RETRY_SECONDS)
    # An earlier attempt, possibly through another instance, may have stored the job.
    run = RunState.UNKNOWN if may_be_repeated else RunState.NOT_RUN
    return RefusalError(
        ErrorKind.STORE_UNAVAILABLE, str(error), STORE_RETRY_SECONDS, run
    )
