"""Runs the requests of the pools for which this instance is a home."""

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
from jujubebarrow.services.claim_stores import ClaimHandle, ClaimStore
from jujubebarrow.services.explanations import ExplanationLog
from jujubebarrow.settings.settings import Settings
from jujubebarrow.upstreams.upstream_clients import UpstreamClient

CLAIMED_KINDS = frozenset(
    {
        ErrorKind.KEY_WITHDRAWN,
        ErrorKind.CONFIGURATION_STALE,
        ErrorKind.DEADLINE_PASSED,
        ErrorKind.UPSTREAM_REFUSED,
    }
)
"""Kinds with which a home refuses a request that must run at most once only after it
has claimed the request."""


class HomeService:
    """Admits, queues, claims, starts and retries requests.

    A home of a pool is an instance that runs the pool's requests on the upstreams in
    its own availability zone.

    Args:
        incarnation: Incarnation of this process, which makes task ids unique.
        zone: Availability zone of this instance, whose upstreams run the requests.
        configuration: Records in force in this process.
        ledger: Ledger of the teams' upper limits.
        claims: Store of the claims on requests that must run at most once.
        upstreams: Client that sends tasks to upstreams.
        absences: Tracker of instances that are leaving or absent from the platform's
            instance list.
        directory: Directory of peers, with the number of tasks of each team at a peer.
        clock: Time source.
        settings: Settings with the bounds of queues, retries and ejections.
        metrics: Registry of counters and latencies.
        monitor: Monitor that checks that no request is sent twice.
        explanations: Log that records refusals, and ejections of upstreams.
        is_fresh: Returns whether the configuration is recent enough to start keyed
            work.
    """

    def __init__(
        self,
        incarnation: str,
        zone: str,
        configuration: Configuration,
        ledger: LimitLedger,
        claims: ClaimStore,
        upstreams: UpstreamClient,
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
            self.start_waiting,
        )
        self._start_futures: dict[Entry, Future[Start]] = {}
        self._active_count = 0
        self._unreachable: dict[str, set[str]] = {}
        self._borrower: Borrower | None = None

    def set_borrower(self, borrower: Borrower) -> None:
        """Set the borrower that requests units which teams lack."""
        self._borrower = borrower

    @property
    def unfinished_count(self) -> int:
        """Number of requests in progress and of tasks that may still be running."""
        return self._active_count + self._attempts.unconfirmed_count

    def scheduler(self, pool: str) -> PoolScheduler:
        """Return the scheduler of a pool, created on first use."""
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
        for record in self._directory.responsive_records():
            _record_peer_usage(scheduler, record)
        return scheduler

    def refresh(self) -> None:
        """Apply changed records and absences, then start waiting requests."""
        for scheduler in self._schedulers.values():
            self._update_upstreams(scheduler)
            self.start_waiting(scheduler)

    def _update_upstreams(self, scheduler: PoolScheduler) -> None:
        instances = self._configuration.pool_instances(scheduler.pool)
        local_instances = {
            name: instance
            for name, instance in instances.items()
            if instance.zone == self._zone
        }
        scheduler.upstreams.update(local_instances, self._absences.leaving)

    def record_peer_usage(self, record: PeerRecord) -> None:
        """Record how many tasks each team runs at a peer."""
        for scheduler in self._schedulers.values():
            _record_peer_usage(scheduler, record)

    def usage(self) -> dict[str, int]:
        """Return the number of running tasks by "pool/team"."""
        return {
            f"{pool}/{team}": running
            for pool, scheduler in self._schedulers.items()
            for team, running in scheduler.usage.local_tasks().items()
        }

    def waiting_count(self, team: TeamId) -> int:
        """Return the number of waiting requests of a team in all pools."""
        return sum(
            scheduler.waiting_by_team().get(team, 0)
            for scheduler in self._schedulers.values()
        )

    def make_pool_report(self, pool: str) -> PoolReport:
        """Return the report on a pool that peers receive."""
        scheduler = self.scheduler(pool)
        return PoolReport(
            free_slots=scheduler.free_slots,
            slots=scheduler.upstreams.slots,
            waiting=scheduler.waiting,
            wait=round(scheduler.pool_wait(), 2),
            unreachable=sorted(self._unreachable.get(pool, ())),
        )

    def record_reachability(self, pool: str, upstream: str, is_reachable: bool) -> None:
        """Record whether an upstream responds to probes."""
        unreachable = self._unreachable.setdefault(pool, set())
        if is_reachable:
            unreachable.discard(upstream)
        else:
            unreachable.add(upstream)

    async def run(self, request: Forward, remaining: float) -> RunResult:
        """Run a request and return the complete response.

        Args:
            request: Request of a caller, received here or forwarded by a peer.
            remaining: Time to the request's deadline in seconds.

        Raises:
            RefusalError: There is no response; `run` of the error states whether the
                request may have run.
        """
        self._active_count += 1
        try:
            return await self._run(request, remaining)
        except RefusalError as error:
            self._explanations.add(request.request, f"{self._incarnation}: {error}")
            raise
        finally:
            self._active_count -= 1

    async def _run(self, request: Forward, remaining: float) -> RunResult:
        queue = self._configuration.queue(request.queue)
        if queue is None:
            raise RefusalError(ErrorKind.UNKNOWN_QUEUE, request.queue)
        scheduler = self.scheduler(queue.pool)
        entry = self._make_entry(request, queue, remaining)
        scheduler.check_admission(entry)
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
        handle: ClaimHandle,
    ) -> RunResult:
        try:
            result = await self._run_entry(scheduler, entry, request)
        except RefusalError as error:
            if error.run is RunState.NOT_RUN:
                self._claims.release(handle)
            else:
                self._claims.record_unknown(handle)
            raise
        except BaseException:
            self._claims.record_unknown(handle)
            raise
        outcome = Outcome(
            status=result.status,
            content_type=result.content_type,
            body=result.body.decode("latin-1"),
        )
        self._claims.record_outcome(handle, outcome)
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
            if entry.possible_start_count and error.run is RunState.NOT_RUN:
                error.run = RunState.UNKNOWN
            raise

    async def _wait_for_start(self, scheduler: PoolScheduler, entry: Entry) -> Start:
        loop = get_running_loop()
        future: Future[Start] = loop.create_future()
        self._start_futures[entry] = future
        remaining = entry.deadline - self._clock.monotonic()
        timer: TimerHandle = loop.call_later(
            max(0.0, remaining), self._refuse_expired, scheduler, entry
        )
        self.start_waiting(scheduler)
        try:
            return await future
        except CancelledError:
            if future.done() and not future.cancelled() and not future.exception():
                # The request was started just before the cancellation and never sent.
                scheduler.finish(future.result())
            raise
        finally:
            timer.cancel()
            self._start_futures.pop(entry, None)
            scheduler.remove(entry)

    def _refuse_expired(self, scheduler: PoolScheduler, entry: Entry) -> None:
        scheduler.remove(entry)
        future = self._start_futures.get(entry)
        if future is not None and not future.done():
            retry_after = max(1.0, scheduler.pool_wait())
            kind = ErrorKind.DEADLINE_PASSED
            if entry.team and not self._is_fresh():
                kind = ErrorKind.CONFIGURATION_STALE
            future.set_exception(RefusalError(kind, retry_after=retry_after))

    def start_waiting(self, scheduler: PoolScheduler) -> None:
        """Start all waiting requests that can start; borrow units that teams lack."""
        while (start := scheduler.start_next()) is not None:
            future = self._start_futures.get(start.entry)
            if future is None or future.done():
                scheduler.finish(start)
                continue
            future.set_result(start)
        if self._borrower is None:
            return
        for team, units in scheduler.pop_shortages().items():
            self._borrower.borrow(team, units)

    def start_all_waiting(self) -> None:
        """Start waiting requests in all pools."""
        for scheduler in self._schedulers.values():
            if scheduler.waiting:
                self.start_waiting(scheduler)


def _record_peer_usage(scheduler: PoolScheduler, record: PeerRecord) -> None:
    prefix = f"{scheduler.pool}/"
    running = {
        TeamId(pool_and_team.removeprefix(prefix)): count
        for pool_and_team, count in record.usage.items()
        if pool_and_team.startswith(prefix)
    }
    scheduler.usage.set_peer_tasks(record.status.instance, running)
