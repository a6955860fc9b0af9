"""Runs requests of the pools that this instance is home of."""

from asyncio import CancelledError, Future, TimerHandle, get_running_loop
from collections.abc import Callable

from jujubebarrow.claims.claims import Outcome
from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.configurations.configurations import Configuration
from jujubebarrow.configurations.queue_records import Queue
from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.errors.run_states import RunState
from jujubebarrow.homes.attempts import AttemptRunner
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
from jujubebarrow.peers.forward_messages import Forward
from jujubebarrow.peers.status_messages import PoolReport
from jujubebarrow.queues.entries import Entry
from jujubebarrow.queues.pool_schedulers import PoolScheduler
from jujubebarrow.queues.starts import Start
from jujubebarrow.routes.upstream_sets import UpstreamSet
from jujubebarrow.services.claim_stores import ClaimStore, ClaimTicket
from jujubebarrow.services.explanations import ExplanationLog
from jujubebarrow.settings.settings import Settings
from jujubebarrow.upstreams.upstreams import Upstreams


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
        self._absences = absences
        self._directory = directory
        self._clock = clock
        self._settings = settings
        self._explanations = explanations
        self._is_fresh = is_fresh
        self._schedulers: dict[str, PoolScheduler] = {}
        self._attempts = AttemptRunner(
            incarnation,
            configuration,
            upstreams,
            clock,
            settings,
            metrics,
            monitor,
            explanations,
            self.pump,
        )
        self._waiters: dict[Entry, Future[Start]] = {}
        self._active = 0
        self._unreachable: dict[str, set[str]] = {}
        self._borrower: Borrower | None = None

    def set_borrower(self, borrower: Borrower) -> None:
        """Set where lacking units are borrowed."""
        self._borrower = borrower

    @property
    def busy(self) -> int:
        """Requests being handled, and tasks that may still be running."""
        return self._active + self._attempts.held

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
            for team, running in scheduler.usage.local_tasks().items()
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
        self._attempts.budget.deposit()
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
            idempotent=queue.idempotent,
            arrived=now,
            deadline=now + remaining,
            cores=queue.cores,
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
                result = await self._attempts.attempt(scheduler, start, request)
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
        except CancelledError:
            if future.done() and not future.cancelled() and not future.exception():
                # Started in the moment of the cancellation, and never sent.
                scheduler.finish(future.result())
            raise
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
        while (start := scheduler.start_next()) is not None:
            future = self._waiters.get(start.entry)
            if future is None or future.done():
                scheduler.finish(start)
                continue
            future.set_result(start)
        if self._borrower is None:
            return
        for team, units in scheduler.pop_shortages().items():
            self._borrower.want(team, units)

    def pump_all(self) -> None:
        """Start what can be started in all pools."""
        for scheduler in self._schedulers.values():
            if scheduler.waiting:
                self.pump(scheduler)


def _report_usage(scheduler: PoolScheduler, record: PeerRecord) -> None:
    prefix = f"{scheduler.pool}/"
    running = {
        TeamId(cell.removeprefix(prefix)): number
        for cell, number in record.usage.items()
        if cell.startswith(prefix)
    }
    scheduler.usage.set_peer_tasks(record.status.instance, running)
