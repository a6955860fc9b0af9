"""Sends started requests to upstreams and evaluates the responses."""

from asyncio import get_running_loop
from collections.abc import Callable
from itertools import count

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.configurations.configurations import Configuration
from jujubebarrow.configurations.key_states import KeyState
from jujubebarrow.errors.exceptions import DispatchError, RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.homes.run_results import RunResult
from jujubebarrow.invariants.monitors import InvariantMonitor
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.peers.forward_messages import Forward
from jujubebarrow.queues.entries import Entry
from jujubebarrow.queues.pool_schedulers import PoolScheduler
from jujubebarrow.queues.starts import Start
from jujubebarrow.retries.budgets import RetryBudget
from jujubebarrow.services.explanations import ExplanationLog
from jujubebarrow.settings.settings import Settings
from jujubebarrow.upstreams.upstream_clients import (
    TaskRequest,
    TaskResponse,
    UpstreamClient,
)

FULL_PAUSE_SECONDS = 0.05
REFUSAL_PAUSE_SECONDS = {"full": FULL_PAUSE_SECONDS, "draining": 2.0}
"""Time during which an upstream that refused a task receives no tasks, by the reason
of the refusal."""
NOT_STARTED_LIMIT = 40
"""Number of attempts not started by an upstream after which a request fails."""
BROKEN_OFF_LIMIT = 3
"""Number of attempts broken off by their upstreams after which a request fails; the
request itself may be what takes the upstreams down."""
SERVER_ERROR_STATUS = 500
RETRY_AFTER_SECONDS = 1.0


class AttemptRunner:
    """Sends started requests to upstreams and decides which requests to retry.

    Args:
        incarnation: Incarnation of this process, which makes task ids unique.
        configuration: Records in force in this process, among them the keys.
        upstreams: Client that sends tasks to upstreams.
        clock: Time source.
        settings: Settings with the retry budget and the clock error.
        metrics: Registry of counters and latencies.
        monitor: Monitor that checks that no request is sent twice.
        explanations: Log that records ejections of upstreams.
        start_waiting: Starts waiting requests of a pool after a slot was freed.
    """

    def __init__(
        self,
        incarnation: str,
        configuration: Configuration,
        upstreams: UpstreamClient,
        clock: Clock,
        settings: Settings,
        metrics: MetricsRegistry,
        monitor: InvariantMonitor,
        explanations: ExplanationLog,
        start_waiting: Callable[[PoolScheduler], None],
    ):
        self.budget = RetryBudget(settings.retry_ratio, settings.retry_reserve)
        self._incarnation = incarnation
        self._configuration = configuration
        self._upstreams = upstreams
        self._clock = clock
        self._settings = settings
        self._metrics = metrics
        self._monitor = monitor
        self._explanations = explanations
        self._start_waiting = start_waiting
        self._serials = count(1)
        self._unconfirmed_count = 0

    @property
    def unconfirmed_count(self) -> int:
        """Number of tasks without a response that may still be running."""
        return self._unconfirmed_count

    async def attempt(
        self, scheduler: PoolScheduler, start: Start, request: Forward
    ) -> RunResult | None:
        """Send a request once; return None if the request is to be started again.

        Raises:
            RefusalError: The request failed and may not be retried, or the key of the
                request was withdrawn.
        """
        entry = start.entry
        self._check_key(scheduler, start)
        sent_at = self._clock.monotonic()
        self._metrics.record_latency(entry.queue, "wait", sent_at - entry.arrived)
        self._monitor.check(
            entry.idempotent or entry.possible_start_count == 0,
            "sent-twice",
            entry.request,
        )
        entry.possible_start_count += 1
        try:
            task = self._make_task(start, request)
            response = await self._upstreams.run(start.member.instance.address, task)
        except DispatchError as error:
            self._record_failure(scheduler, start, error)
            self._check_retry(scheduler, entry, error)
            return None
        except BaseException:
            self._keep_slot_until_lease_end(scheduler, start)
            raise
        scheduler.finish(start)
        self._record_response(
            scheduler, start, response, self._clock.monotonic() - sent_at
        )
        self._start_waiting(scheduler)
        if self._reserve_retry_after_error(scheduler, entry, response):
            return None
        return RunResult(
            response.status, response.content_type, response.body, start.member.upstream
        )

    def _check_key(self, scheduler: PoolScheduler, start: Start) -> None:
        entry = start.entry
        if not entry.team:
            return
        key = self._configuration.key(entry.key)
        if key is not None and key.state is KeyState.GRANTED:
            return
        start.member.ejection.record_not_started()
        scheduler.finish(start)
        raise RefusalError(ErrorKind.KEY_WITHDRAWN)

    def _make_task(self, start: Start, request: Forward) -> TaskRequest:
        return TaskRequest(
            task=f"{self._incarnation}-{next(self._serials)}",
            queue=request.queue,
            team=request.team,
            key=request.idempotency_key,
            content_type=request.content_type,
            body=request.body,
            lease_end=start.lease_end,
            timeout=start.timeout,
            is_resend_forbidden=not start.entry.idempotent,
        )

    def _record_failure(
        self, scheduler: PoolScheduler, start: Start, error: DispatchError
    ) -> None:
        entry = start.entry
        if error.may_have_started:
            if error.timed_out:
                scheduler.record_timeout(entry.queue)
            else:
                entry.broken_off_count += 1
            entry.failed_upstreams.add(start.member.upstream)
            self._record_upstream_failure(start)
            self._keep_slot_until_lease_end(scheduler, start)
            return
        entry.possible_start_count -= 1
        entry.not_started_count += 1
        scheduler.finish(start)
        if error.refusal:
            start.member.ejection.record_not_started()
            pause = REFUSAL_PAUSE_SECONDS.get(error.refusal, FULL_PAUSE_SECONDS)
            start.member.block(self._clock.monotonic() + pause)
        else:
            entry.failed_upstreams.add(start.member.upstream)
            self._record_upstream_failure(start)

    def _record_upstream_failure(self, start: Start) -> None:
        if start.member.ejection.record_failure():
            self._metrics.count("upstream_ejected")
            self._explanations.add(start.member.upstream, "ejected after failures")

    def _keep_slot_until_lease_end(
        self, scheduler: PoolScheduler, start: Start
    ) -> None:
        """Keep the slot and the permit until the task's lease has certainly ended."""
        self._unconfirmed_count += 1
        delay = start.lease_end + self._settings.clock_error - self._clock.wall()
        get_running_loop().call_later(
            max(0.0, delay), self._free_slot, scheduler, start
        )

    def _free_slot(self, scheduler: PoolScheduler, start: Start) -> None:
        self._unconfirmed_count -= 1
        scheduler.finish(start)
        self._start_waiting(scheduler)

    def _record_response(
        self,
        scheduler: PoolScheduler,
        start: Start,
        response: TaskResponse,
        seconds: float,
    ) -> None:
        entry = start.entry
        if response.status < SERVER_ERROR_STATUS:
            start.member.ejection.record_success()
            start.member.last_response_at = self._clock.monotonic()
            scheduler.record_run_time(entry.queue, seconds)
            self._metrics.record_latency(entry.queue, "run", seconds)
            return
        entry.failed_upstreams.add(start.member.upstream)
        self._record_upstream_failure(start)

    def _reserve_retry_after_error(
        self, scheduler: PoolScheduler, entry: Entry, response: TaskResponse
    ) -> bool:
        if response.status < SERVER_ERROR_STATUS or not entry.idempotent:
            return False
        return self._try_reserve_retry(scheduler, entry, "upstream-failed")

    def _try_reserve_retry(
        self, scheduler: PoolScheduler, entry: Entry, reason: str
    ) -> bool:
        if self._clock.monotonic() >= entry.deadline:
            return False
        if not scheduler.upstreams.has_alternative(entry.failed_upstreams):
            return False
        if not self.budget.withdraw():
            self._metrics.count("retry_budget_empty", reason)
            return False
        self._metrics.count("retry", reason)
        return True

    def _check_retry(
        self, scheduler: PoolScheduler, entry: Entry, error: DispatchError
    ) -> None:
        """Raise a `RefusalError` unless the request may be started again."""
        if not error.may_have_started:
            self._check_retry_of_unstarted(scheduler, entry, error)
            return
        reason = "upstream-timeout" if error.timed_out else "upstream-incomplete"
        if entry.broken_off_count >= BROKEN_OFF_LIMIT:
            self._metrics.count("request_given_up", entry.queue)
            upstreams = ", ".join(sorted(entry.failed_upstreams))
            self._explanations.add(
                entry.request, f"given up, broken off by {upstreams}"
            )
        elif entry.idempotent and self._try_reserve_retry(scheduler, entry, reason):
            return
        kind = ErrorKind.UPSTREAM_INCOMPLETE
        if error.timed_out:
            kind = ErrorKind.UPSTREAM_TIMEOUT
        raise RefusalError(kind, str(error), retry_after=RETRY_AFTER_SECONDS) from error

    def _check_retry_of_unstarted(
        self, scheduler: PoolScheduler, entry: Entry, error: DispatchError
    ) -> None:
        can_try_another = scheduler.upstreams.has_alternative(entry.failed_upstreams)
        if can_try_another and entry.not_started_count < NOT_STARTED_LIMIT:
            self._metrics.count("retry", f"upstream-{error.refusal or 'unreachable'}")
            return
        raise RefusalError(
            ErrorKind.UPSTREAM_REFUSED, str(error), retry_after=RETRY_AFTER_SECONDS
        ) from error
