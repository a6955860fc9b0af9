"""Owner of one pool: decisions, store and workers put together."""

from asyncio import gather, sleep
from collections.abc import Awaitable, Callable

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.orders import StopOrder
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.coordinators.terms import CoordinatorTerms
from jujubebarrow.errors.exceptions import StoreError
from jujubebarrow.fleets.fleet_maps import FleetMap
from jujubebarrow.gateways.worker_gateways import WorkerGateway
from jujubebarrow.identifiers import JobId, PoolId, QueueId
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.advice_keepers import AdviceKeeper
from jujubebarrow.runtimes.grant_keepers import GrantKeeper
from jujubebarrow.runtimes.job_listeners import JobListener
from jujubebarrow.runtimes.lease_recorders import LeaseRecorder
from jujubebarrow.runtimes.load_reporters import LoadReporter
from jujubebarrow.runtimes.move_keepers import MoveKeeper
from jujubebarrow.runtimes.order_senders import OrderSender
from jujubebarrow.runtimes.owner_hooks import OwnerHooks
from jujubebarrow.runtimes.ownership_services import OwnershipService
from jujubebarrow.runtimes.pool_loaders import PoolLoader
from jujubebarrow.runtimes.progress_writers import DisplacedError, ProgressWriter
from jujubebarrow.runtimes.task_groups import OwnedTasks
from jujubebarrow.runtimes.wave_keepers import WaveKeeper
from jujubebarrow.runtimes.worker_sessions import WorkerSession
from jujubebarrow.runtimes.worker_sources import WorkerListener
from jujubebarrow.stores.stores import Store
from jujubebarrow.workloads.identifiers import FenceToken, WorkerId
from jujubebarrow.workloads.job_records import JobRecord
from jujubebarrow.workloads.worker_reports import WorkerEntry

TICK = 0.1
"""Seconds between plans without an event; leases and times pass by themselves."""
JOIN = 0.005
"""Seconds for which events are joined before a plan."""
PURGE_TICKS = 300
"""Ticks between deletions of closed jobs."""
RETRY_SECONDS = 0.2
"""Pause after a read of the store that failed."""


class PoolOwner(JobListener, WorkerListener, OwnerHooks):
    """Runs one pool for as long as this instance owns it.

    Args:
        pool: Pool.
        token: Fencing token.
        terms: Times.
        ownership: Says until when this instance certainly owns the pool.
        store: Store.
        gateway: Workers.
        make_waves: Makes the part that keeps the pool's machines maintained.
        make_moves: Makes the part that lends the pool's machines.
        make_advice: Makes the part that asks which workers may run a step.
        wait_for_feed: Waits until every later job will be told.
        clock: Time source; it must not stand still while a machine is suspended.
        log: Log of decisions.
        metrics: Counters.
    """

    def __init__(
        self,
        pool: PoolId,
        token: FenceToken,
        terms: CoordinatorTerms,
        ownership: OwnershipService,
        store: Store,
        gateway: WorkerGateway,
        make_waves: Callable[[PoolCoordinator, OwnerHooks], WaveKeeper],
        make_moves: Callable[[PoolCoordinator, OwnerHooks, WaveKeeper], MoveKeeper],
        make_advice: Callable[[PoolCoordinator, OwnerHooks], AdviceKeeper],
        wait_for_feed: Callable[[], Awaitable[None]],
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        self.pool = pool
        self._terms = terms
        self._ownership = ownership
        self._store = store
        self._gateway = gateway
        self._wait_for_feed = wait_for_feed
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._tasks = OwnedTasks(log, metrics)
        self._sessions: dict[WorkerId, WorkerSession] = {}
        self._loaded = False
        self._opening: set[QueueId] = set()
        self._early: dict[QueueId, list[JobRecord]] = {}
        self._planned = False
        self._closed = False
        now = clock.monotonic()
        self.coordinator = PoolCoordinator(pool, token, terms, now, log)
        self._writer = ProgressWriter(
            pool,
            token,
            self.coordinator,
            store,
            self._tasks,
            self.on_change,
            self.on_displaced,
            clock,
            log,
            metrics,
        )
        self._loader = PoolLoader(
            pool, self.coordinator, self._writer, store, clock, metrics
        )
        self._sender = OrderSender(
            self.coordinator,
            gateway,
            self._tasks,
            self._may_order,
            self.on_change,
            clock,
            log,
            metrics,
        )
        book = self.coordinator.state.grants
        self._keeper = GrantKeeper(
            pool, token, book, store, self.on_change, clock, log, metrics
        )
        self._leases = LeaseRecorder(
            self.coordinator.state, store, self.on_displaced, clock, log, metrics
        )
        self._waves = make_waves(self.coordinator, self)
        self._moves = make_moves(self.coordinator, self, self._waves)
        self._advice = make_advice(self.coordinator, self)
        self._reporter = LoadReporter(
            pool, self.coordinator, self._writer, clock, metrics
        )

    def open(self, fleet: FleetMap) -> None:
        """Take the pool over.

        Args:
            fleet: Configuration in force.
        """
        self.apply_fleet(fleet)
        self._tasks.start(self._take_over())

    def close(self) -> None:
        """Stop at once."""
        self._closed = True
        self._tasks.close()

    @property
    def is_closed(self) -> bool:
        """Whether it has stopped for good."""
        return self._closed

    @property
    def is_running(self) -> bool:
        """Whether the pool has been taken over and is still owned."""
        return self._loaded and not self._closed

    def apply_fleet(self, fleet: FleetMap) -> None:
        """Take over the teams' limits."""
        limits = {team: spec.limit for team, spec in fleet.teams.items()}
        self.coordinator.state.grants.set_limits(limits)
        self.coordinator.state.advice.set_terms(
            {
                queue: route.advice
                for queue, route in fleet.queues.items()
                if route.advice is not None
            }
        )
        self.on_change()

    def _may_order(self) -> bool:
        return self._clock.monotonic() < self._ownership.valid_until

    def may_hold(self) -> bool:
        """Return whether leases of tasks may still be extended."""
        limit = self._ownership.valid_until + self._terms.displaced_hold
        return self._clock.monotonic() < limit

    async def _take_over(self) -> None:
        began = self._clock.monotonic()
        await self._wait_for_feed()
        loaded = await gather(
            self._load(self._leases.load), self._load(self._loader.load_queues)
        )
        if not all(loaded):
            return
        self._loaded = True
        state = self.coordinator.state
        self._log.write(
            "pool_taken_over",
            pool=self.pool,
            token=state.token,
            jobs=len(state.jobs),
            workers=len(state.workers),
            seconds=round(self._clock.monotonic() - began, 3),
        )
        early, self._early = self._early, {}
        for records in early.values():
            for record in records:
                self.on_job(record)
        self._tasks.start(self._tick())
        self._tasks.start(self._keeper.run())
        self._tasks.start(self._leases.run())
        self._tasks.start(self._reporter.run())
        self._tasks.start(self._waves.run())
        self._tasks.start(self._moves.run())
        self._tasks.start(self._advice.run())
        self.on_change()

    def on_job(self, record: JobRecord) -> None:
        """Take over an accepted job."""
        if record.pool != self.pool or self._closed:
            return
        queue = record.queue
        if not self._loaded or not self._writer.has_fence(queue):
            self._early.setdefault(queue, []).append(record)
            if self._loaded and queue not in self._opening:
                self._opening.add(queue)
                self._tasks.start(self._open_queue(queue))
            return
        self.coordinator.add_job(record, None, self._clock.monotonic())
        self.on_change()

    async def _open_queue(self, queue: QueueId) -> None:
        if not await self._load(lambda: self._loader.load_queue(queue, False)):
            return
        self._opening.discard(queue)
        for record in self._early.pop(queue, []):
            self.on_job(record)
        self.on_change()

    def on_cancelled(self, queue: QueueId, job: JobId) -> None:
        """Stop a job that its caller has cancelled."""
        self.coordinator.cancel_job(job)
        self.on_change()

    def on_history_lost(self) -> None:
        """Read all jobs anew."""
        if self._loaded:
            self._tasks.start(self._reload())

    async def _reload(self) -> None:
        if await self._load(self._loader.load_queues):
            self.on_change()

    async def _load(self, read: Callable[[], Awaitable[None]]) -> bool:
        """Read from the store until it answers; return whether the pool is still ours.

        Args:
            read: Reads and takes over jobs.
        """
        while True:
            try:
                await read()
                return True
            except DisplacedError:
                self.on_displaced()
                return False
            except StoreError as error:
                self._metrics.count("retry", "load")
                self._metrics.count("store_unanswered", str(error)[:40])
                await sleep(RETRY_SECONDS)

    def on_worker(self, entry: WorkerEntry) -> None:
        """Take over a registration."""
        if self._closed:
            return
        if entry.pool != self.pool:
            self.coordinator.note_worker_gone(entry.worker)
            return
        self.coordinator.note_worker(entry, self._clock.monotonic())
        self.on_change()

    def on_worker_gone(self, worker: WorkerId) -> None:
        """Note that a worker is no longer registered."""
        self.coordinator.note_worker_gone(worker)
        self.on_change()

    def on_stray(self, order: StopOrder) -> None:
        """Stop a run that nobody has on record."""
        self._sender.send_stray(order)

    def on_displaced(self) -> None:
        """Stop at once, as another instance owns the pool."""
        if not self._closed:
            self._log.write("pool_displaced", pool=self.pool)
            self.close()

    def on_change(self) -> None:
        """Plan soon, once for all events until then."""
        if self._loaded and not self._planned and not self._closed:
            self._planned = True
            self._tasks.start(self._plan_soon())

    async def _plan_soon(self) -> None:
        await sleep(JOIN)
        self._planned = False
        self._plan()

    def _plan(self) -> None:
        coordinator = self.coordinator
        if self._may_order():
            coordinator.plan(self._clock.monotonic(), self._clock.wall())
        self._writer.write_changes()
        self._sender.send_released()
        self._follow_workers()
        if coordinator.orders.is_displaced:
            self.on_displaced()

    def _follow_workers(self) -> None:
        workers = self.coordinator.state.workers
        for name, worker in workers.items():
            session = self._sessions.get(name)
            if session is None or not session.follows(worker):
                session = WorkerSession(
                    worker,
                    self.coordinator,
                    self._gateway,
                    self,
                    self._clock,
                    self._log,
                    self._metrics,
                )
                self._sessions[name] = session
                self._tasks.start(session.run())
            elif worker.runs:
                session.wake()
        for name in [name for name in self._sessions if name not in workers]:
            del self._sessions[name]

    async def _tick(self) -> None:
        ticks = 0
        while True:
            self._plan()
            ticks += 1
            if ticks % PURGE_TICKS == 0:
                closed = self.coordinator.forget_closed(self._clock.wall())
                if closed:
                    self._tasks.start(self._writer.delete_closed(closed))
            await sleep(TICK)
