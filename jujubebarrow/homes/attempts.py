"""One start of a request, and what becomes of it."""

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
from jujubebarrow.upstreams.upstreams import TaskAnswer, TaskRequest, Upstreams

FULL_PAUSE_SECONDS = 0.05
REFUSAL_PAUSES = {"full": FULL_PAUSE_SECONDS, "draining": 2.0}
"""Seconds for which an upstream gets nothing, by its reason for refusing."""
REFUSAL_LIMIT = 40
"""Refusals by upstreams after which a request is given up."""
SERVER_ERROR_STATUS = 500
RETRY_SECONDS = 1.0


class AttemptRunner:
    """Sends started requests and decides whether they may be started again.

    Args:
        incarnation: This process, which makes task identifiers unique.
        configuration: Keys.
        upstreams: Upstreams.
        clock: Time source.
        settings: Bounds.
        metrics: Counters and latencies.
        monitor: Checks that nothing is sent twice.
        explanations: Where ejections are recorded.
        pump: Starts what a freed slot lets start.
    """

    def __init__(
        self,
        incarnation: str,
        configuration: Configuration,
        upstreams: Upstreams,
        clock: Clock,
        settings: Settings,
        metrics: MetricsRegistry,
        monitor: InvariantMonitor,
        explanations: ExplanationLog,
        pump: Callable[[PoolScheduler], None],
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
        self._pump = pump
        self._serials = count(1)
        self._held = 0

    @property
    def held(self) -> int:
        """Tasks without an answer that may still be running."""
        return self._held

    async def attempt(
        self, scheduler: PoolScheduler, start: Start, request: Forward
    ) -> RunResult | None:
        """Send a request once; return None if it is to be started again."""
        entry = start.entry
        self._check_key(scheduler, start)
        sent = self._clock.monotonic()
        self._metrics.record(entry.queue, "wait", sent - entry.arrived)
        self._monitor.check(
            entry.idempotent or entry.sends == 0, "sent-twice", entry.request
        )
        entry.sends += 1
        try:
            task = self._make_task(start, request)
            answer = await self._upstreams.run(start.member.instance.address, task)
        except DispatchError as error:
            self._note_failure(scheduler, start, error)
            self._check_retry(scheduler, entry, error)
            return None
        except BaseException:
            self._hold(scheduler, start)
            raise
        scheduler.finish(start)
        self._note_answer(scheduler, start, answer, self._clock.monotonic() - sent)
        self._pump(scheduler)
        if self._is_to_be_repeated(scheduler, entry, answer):
            return None
        return RunResult(
            answer.status, answer.content_type, answer.body, start.member.upstream
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
            once=not start.entry.idempotent,
        )

    def _note_failure(
        self, scheduler: PoolScheduler, start: Start, error: DispatchError
    ) -> None:
        entry = start.entry
        if error.started:
            if error.timed_out:
                scheduler.observe_timeout(entry.queue)
            entry.tried.add(start.member.upstream)
            self._fail_member(start)
            self._hold(scheduler, start)
            return
        entry.sends -= 1
        entry.refusals += 1
        scheduler.finish(start)
        if error.refusal:
            start.member.ejection.record_not_started()
            pause = REFUSAL_PAUSES.get(error.refusal, FULL_PAUSE_SECONDS)
            start.member.block(self._clock.monotonic() + pause)
        else:
            entry.tried.add(start.member.upstream)
            self._fail_member(start)

    def _fail_member(self, start: Start) -> None:
        if start.member.ejection.record_failure():
            self._metrics.count("upstream_ejected")
            self._explanations.add(start.member.upstream, "ejected after failures")

    def _hold(self, scheduler: PoolScheduler, start: Start) -> None:
        """Keep slot and permit for as long as the task may be running."""
        self._held += 1
        end = start.lease_end + self._settings.clock_error - self._clock.wall()
        get_running_loop().call_later(max(0.0, end), self._drop, scheduler, start)

    def _drop(self, scheduler: PoolScheduler, start: Start) -> None:
        self._held -= 1
        scheduler.finish(start)
        self._pump(scheduler)

    def _note_answer(
        self,
        scheduler: PoolScheduler,
        start: Start,
        answer: TaskAnswer,
        seconds: float,
    ) -> None:
        entry = start.entry
        if answer.status < SERVER_ERROR_STATUS:
            start.member.ejection.record_success()
            start.member.last_answer = self._clock.monotonic()
            scheduler.observe(entry.queue, seconds)
            self._metrics.record(entry.queue, "run", seconds)
            return
        entry.tried.add(start.member.upstream)
        self._fail_member(start)

    def _is_to_be_repeated(
        self, scheduler: PoolScheduler, entry: Entry, answer: TaskAnswer
    ) -> bool:
        if answer.status < SERVER_ERROR_STATUS or not entry.idempotent:
            return False
        return self._may_retry(scheduler, entry, "upstream-failed")

    def _may_retry(self, scheduler: PoolScheduler, entry: Entry, reason: str) -> bool:
        if self._clock.monotonic() >= entry.deadline:
            return False
        if not scheduler.upstreams.has_untried(entry.tried):
            return False
        if not self.budget.withdraw():
            self._metrics.count("retry_budget_empty", reason)
            return False
        self._metrics.count("retry", reason)
        return True

    def _check_retry(
        self, scheduler: PoolScheduler, entry: Entry, error: DispatchError
    ) -> None:
        """Raise the final error unless the request may be started again."""
        if not error.started:
            self._check_refusals(scheduler, entry, error)
            return
        reason = "upstream-timeout" if error.timed_out else "upstream-incomplete"
        if entry.idempotent and self._may_retry(scheduler, entry, reason):
            return
        kind = ErrorKind.UPSTREAM_INCOMPLETE
        if error.timed_out:
            kind = ErrorKind.UPSTREAM_TIMEOUT
        raise RefusalError(kind, str(error), retry_after=RETRY_SECONDS) from error

    def _check_refusals(
        self, scheduler: PoolScheduler, entry: Entry, error: DispatchError
    ) -> None:
        untried = scheduler.upstreams.has_untried(entry.tried)
        if untried and entry.refusals < REFUSAL_LIMIT:
            self._metrics.count("retry", f"upstream-{error.refusal or 'unreachable'}")
            return
        raise RefusalError(
            ErrorKind.UPSTREAM_REFUSED, str(error), retry_after=RETRY_SECONDS
        ) from error
