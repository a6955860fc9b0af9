"""Runs requests of the pools that this instance is home of."""

from asyncio import Future, TimerHandle, create_task, get_running_loop, sleep
from collections.abc import Callable
from itertools import count

from jujubebarrow.claims.claims import Outcome
from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.configurations.configurations import Configuration
from jujubebarrow.configurations.records import KeyState, Queue
from jujubebarrow.errors.exceptions import DispatchError, RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.errors.run_states import RunState
from jujubebarrow.homes.borrowers import Borrower
from jujubebarrow.homes.run_results import RunResult
from jujubebarrow.identifiers import (
    KeyDigest,
    PoolId,
    QueueId,
    RequestId,
    TeamId,
)
from jujubebarrow.invariants.monitors import InvariantMonitor
from jujubebarrow.limits.ledgers import LimitLedger
from jujubebarrow.members.absences import AbsenceTracker
from jujubebarrow.members.peer_directories import PeerDirectory, PeerRecord
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.peers.messages import Forward, PoolReport
from jujubebarrow.queues.entries import Entry
from jujubebarrow.queues.pool_schedulers import PoolScheduler
from jujubebarrow.queues.starts import Start
from jujubebarrow.retries.budgets import RetryBudget
from jujubebarrow.routes.upstream_sets import UpstreamSet
from jujubebarrow.services.claim_stores import ClaimStore, ClaimTicket
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
RENEWALS_PER_LEASE = 3


class HomeService:
    """Admits, orders, claims, starts and retries requests.

    Args:
        incarnation: This process, which makes task identifiers unique.
        zone: Own availability zone, whose upstreams this instance uses.
        configuration: Records in force.
        ledger: Upper limits.
        claims: Claims of requests that must run at most once.
        upstreams: Upstreams.
        absences: The platform's list.
        directory: Peers, for what teams run there.
        clock: Time source.
        settings: Bounds.
        metrics: Counters and latencies.
        monitor: Checks that nothing is sent twice.
        explanations: Where refusals are recorded.
        is_fresh: Tells whether keyed work may be started.
    """

    def __init__(
        self,
        incarnation: str,
        zone: str,
        configuration: Configuration,
        ledger: LimitLedger,
        claims: ClaimStore,
        upstreams: Upstreams,
        absences: AbsenceTracker,
        directory: PeerDirectory,
        clock: Clock,
        settings: Settings,
        metrics: MetricsRegistry,
        monitor: InvariantMonitor,
        explanations: ExplanationLog,
        is_fresh: Callable[[], bool],
    ):
        self._incarnation = incarnation
        self._zone = zone
        self._configuration = configuration
        self._ledger = ledger
        self._claims = claims
        self._upstreams = upstreams
        self._absences = absences
        self._directory = directory
        self._clock = clock
        self._settings = settings
        self._metrics = metrics
        self._monitor = monitor
        self._explanations = explanations
        self._is_fresh = is_fresh
        self._schedulers: dict[str, PoolScheduler] = {}
        self._budget = RetryBudget(settings.retry_ratio, settings.retry_reserve)
        self._waiters: dict[Entry, Future[Start]] = {}
        self._serials = count(1)
        self._held = 0
        self._active = 0
        self._unreachable: dict[str, set[str]] = {}
        self._borrower: Borrower | None = None

    def set_borrower(self, borrower: Borrower) -> None:
        """Set where lacking units are borrowed."""
        self._borrower = borrower

    @property
    def busy(self) -> int:
        """Requests being handled, and tasks that may still be running."""
        return self._active + self._held

    def scheduler(self, pool: str) -> PoolScheduler:
        """Return the scheduler of a pool."""
        scheduler = self._schedulers.get(pool)
        if scheduler is None:
            scheduler = self._create_scheduler(PoolId(pool))
        return scheduler

    def _create_scheduler(self, pool: PoolId) -> PoolScheduler:
        upstream_set = UpstreamSet(
            self._clock,
            self._settings.ejection_failures,
            self._settings.ejection_period,
        )
        scheduler = PoolScheduler(
            pool,
            self._configuration,
            self._ledger,
            upstream_set,
            self._clock,
            self._settings,
            self._is_fresh,
        )
        self._schedulers[pool] = scheduler
        self._update_upstreams(scheduler)
        for record in self._directory.alive():
            _report_usage(scheduler, record)
        return scheduler

    def refresh(self) -> None:
        """Take over changed records and the platform's list."""
        for scheduler in self._schedulers.values():
            self._update_upstreams(scheduler)
            self.pump(scheduler)

    def _update_upstreams(self, scheduler: PoolScheduler) -> None:
        instances = self._configuration.pool_instances(scheduler.pool)
        own = {
            name: instance
            for name, instance in instances.items()
            if instance.zone == self._zone
        }
        scheduler.upstreams.update(own, self._absences.leaving)

    def note_peer(self, record: PeerRecord) -> None:
        """Take over what teams run at a peer."""
        for scheduler in self._schedulers.values():
            _report_usage(scheduler, record)

    def usage(self) -> dict[str, int]:
        """Return running requests by "pool/team"."""
        return {
            f"{pool}/{team}": running
            for pool, scheduler in self._schedulers.items()
            for team, running in scheduler.usage.own().items()
        }

    def waiting(self, team: TeamId) -> int:
        """Return the waiting requests of a team."""
        return sum(
            scheduler.waiting_by_team().get(team, 0)
            for scheduler in self._schedulers.values()
        )

    def report(self, pool: str) -> PoolReport:
        """Return the state of a pool."""
        scheduler = self.scheduler(pool)
        return PoolReport(
            free_slots=scheduler.free_slots,
            slots=scheduler.upstreams.slots,
            waiting=scheduler.waiting,
            wait=round(scheduler.pool_wait(), 2),
            unreachable=sorted(self._unreachable.get(pool, ())),
        )

    def note_reachable(self, pool: str, upstream: str, reachable: bool) -> None:
        """Record whether an upstream answers probes."""
        unreachable = self._unreachable.setdefault(pool, set())
        if reachable:
            unreachable.discard(upstream)
        else:
            unreachable.add(upstream)

    async def run(self, request: Forward, remaining: float) -> RunResult:
        """Run a request and return its whole answer.

        Args:
            request: Request.
            remaining: Seconds to its deadline.

        Raises:
            RefusalError: There is no answer; it tells whether the request ran.
        """
        self._active += 1
        try:
            return await self._run(request, remaining)
        except RefusalError as error:
            self._explanations.add(request.request, f"{self._incarnation}: {error}")
            raise
        finally:
            self._active -= 1

    async def _run(self, request: Forward, remaining: float) -> RunResult:
        queue = self._configuration.queue(request.queue)
        if queue is None:
            raise RefusalError(ErrorKind.UNKNOWN_QUEUE, request.queue)
        scheduler = self.scheduler(queue.pool)
        entry = self._make_entry(request, queue, remaining)
        scheduler.admit(entry)
        self._budget.deposit()
        if entry.idempotent:
            return await self._run_entry(scheduler, entry, request)
        claimed = await self._claims.claim(
            request.team,
            request.queue,
            request.idempotency_key,
            request.body,
            entry.deadline,
        )
        if isinstance(claimed, Outcome):
            body = claimed.body.encode("latin-1")
            return RunResult(claimed.status, claimed.content_type, body, "", True)
        return await self._run_claimed(scheduler, entry, request, claimed)

    def _make_entry(self, request: Forward, queue: Queue, remaining: float) -> Entry:
        now = self._clock.monotonic()
        return Entry(
            request=RequestId(request.request),
            pool=PoolId(queue.pool),
            queue=QueueId(request.queue),
            team=TeamId(request.team),
            key=KeyDigest(request.key),
            priority=request.priority,
            # A job that is started again must not overlap with its earlier run.
            idempotent=queue.idempotent and not request.job,
            arrived=now,
            deadline=now + remaining,
            cores=queue.cores,
            renewed=request.job,
        )

    async def _run_claimed(
        self,
        scheduler: PoolScheduler,
        entry: Entry,
        request: Forward,
        ticket: ClaimTicket,
    ) -> RunResult:
        try:
            result = await self._run_entry(scheduler, entry, request)
        except RefusalError as error:
            if error.run is RunState.NOT_RUN:
                self._claims.give_up(ticket)
            else:
                self._claims.lose(ticket)
            raise
        except BaseException:
            self._claims.lose(ticket)
            raise
        outcome = Outcome(
            status=result.status,
            content_type=result.content_type,
            body=result.body.decode("latin-1"),
        )
        self._claims.finish(ticket, outcome)
        return result

    async def _run_entry(
        self, scheduler: PoolScheduler, entry: Entry, request: Forward
    ) -> RunResult:
        start = scheduler.start_now(entry)
        if start is None:
            scheduler.enqueue(entry)
        try:
            while True:
                if start is None:
                    start = await self._wait_for_start(scheduler, entry)
                result = await self._attempt(scheduler, start, request)
                if result is not None:
                    return result
                start = None
                scheduler.requeue(entry)
        except RefusalError as error:
            if entry.sends and error.run is RunState.NOT_RUN:
                error.run = RunState.UNKNOWN
            raise

    async def _wait_for_start(self, scheduler: PoolScheduler, entry: Entry) -> Start:
        loop = get_running_loop()
        future: Future[Start] = loop.create_future()
        self._waiters[entry] = future
        latest = entry.deadline - self._clock.monotonic()
        timer: TimerHandle = loop.call_later(
            max(0.0, latest), self._expire, scheduler, entry
        )
        self.pump(scheduler)
        try:
            return await future
        finally:
            timer.cancel()
            self._waiters.pop(entry, None)
            scheduler.remove(entry)

    def _expire(self, scheduler: PoolScheduler, entry: Entry) -> None:
        scheduler.remove(entry)
        future = self._waiters.get(entry)
        if future is not None and not future.done():
            retry_after = max(1.0, scheduler.pool_wait())
            kind = ErrorKind.DEADLINE_PASSED
            if entry.team and not self._is_fresh():
                kind = ErrorKind.CONFIGURATION_STALE
            future.set_exception(RefusalError(kind, retry_after=retry_after))

    def pump(self, scheduler: PoolScheduler) -> None:
        """Start what can be started."""
        while (start := scheduler.next_start()) is not None:
            future = self._waiters.get(start.entry)
            if future is None or future.done():
                scheduler.finish(start)
                continue
            future.set_result(start)
        if self._borrower is None:
            return
        for team, units in scheduler.shortages().items():
            self._borrower.want(team, units)

    def pump_all(self) -> None:
        """Start what can be started in all pools."""
        for scheduler in self._schedulers.values():
            if scheduler.waiting:
                self.pump(scheduler)

    async def _attempt(
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
            answer = await self._send(start, self._make_task(start, request))
        except DispatchError as error:
            self._note_failure(scheduler, start, error)
            self._check_retry(scheduler, entry, error)
            return None
        except BaseException:
            self._hold(scheduler, start)
            raise
        scheduler.finish(start)
        self._note_answer(scheduler, start, answer, self._clock.monotonic() - sent)
        self.pump(scheduler)
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
        start.member.ejection.abandon()
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

    async def _send(self, start: Start, task: TaskRequest) -> TaskAnswer:
        address = start.member.instance.address
        if not start.entry.renewed:
            return await self._upstreams.run(address, task)
        renewal = create_task(self._renew(start, task.task))
        try:
            return await self._upstreams.run(address, task)
        finally:
            renewal.cancel()

    async def _renew(self, start: Start, task: str) -> None:
        period = self._settings.task_lease / RENEWALS_PER_LEASE
        address = start.member.instance.address
        while True:
            await sleep(period)
            lease_end = await self._next_lease_end(start)
            # Noted first: the upstream may run until then even if no answer comes.
            start.lease_end = lease_end
            try:
                await self._upstreams.renew(address, task, lease_end)
            except DispatchError:
                self._metrics.count("retry", "lease-renewal")

    async def _next_lease_end(self, start: Start) -> float:
        lease_end = self._clock.wall() + self._settings.task_lease
        permit = start.permit
        if permit is None or permit.loan is None or self._borrower is None:
            return lease_end
        until = await self._borrower.extend(permit.team, permit.loan)
        return max(start.lease_end, min(lease_end, until))

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
            start.member.ejection.abandon()
            pause = REFUSAL_PAUSES.get(error.refusal, FULL_PAUSE_SECONDS)
            start.member.block(self._clock.monotonic() + pause)
        else:
            entry.tried.add(start.member.upstream)
            self._fail_member(start)

    def _fail_member(self, start: Start) -> None:
        if start.member.ejection.fail():
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
        self.pump(scheduler)

    def _note_answer(
        self,
        scheduler: PoolScheduler,
        start: Start,
        answer: TaskAnswer,
        seconds: float,
    ) -> None:
        entry = start.entry
        if answer.status < SERVER_ERROR_STATUS:
            start.member.ejection.succeed()
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
        if not self._budget.withdraw():
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


def _report_usage(scheduler: PoolScheduler, record: PeerRecord) -> None:
    prefix = f"{scheduler.pool}/"
    running = {
        TeamId(cell.removeprefix(prefix)): number
        for cell, number in record.usage.items()
        if cell.startswith(prefix)
    }
    scheduler.usage.report(record.status.instance, running)
