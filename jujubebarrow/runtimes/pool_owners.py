"""Runs the scheduling of one pool while this instance owns the pool."""

from asyncio import gather, sleep
from collections.abc import Awaitable, Callable

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.coordinator_options import CoordinatorOptions
from jujubebarrow.coordinators.orders import StopOrder
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.errors.exceptions import (
    QueueLoadError,
    StoreError,
    TransactionConflictError,
)
from jujubebarrow.fleets.fleet_maps import FleetMap
from jujubebarrow.gateways.machine_controls import MachineControl
from jujubebarrow.gateways.start_relays import StartRelay
from jujubebarrow.gateways.worker_gateways import WorkerGateway
from jujubebarrow.identifiers import JobId, PoolId, QueueId
from jujubebarrow.links.link_backlogs import LinkBacklog
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.ownerships.ownership_rows import DutyId
from jujubebarrow.runtimes.absence_checkers import AbsenceChecker
from jujubebarrow.runtimes.advice_controllers import AdviceController
from jujubebarrow.runtimes.cancellation_sweepers import CancellationSweeper
from jujubebarrow.runtimes.foreign_end_reporters import ForeignEndReporter
from jujubebarrow.runtimes.grant_controllers import GrantController
from jujubebarrow.runtimes.grant_watchers import GrantWatcher
from jujubebarrow.runtimes.job_listeners import JobListener
from jujubebarrow.runtimes.lease_recorders import LeaseRecorder
from jujubebarrow.runtimes.load_reporters import LoadReporter
from jujubebarrow.runtimes.load_reports import LoadReports
from jujubebarrow.runtimes.move_controllers import MoveController
from jujubebarrow.runtimes.order_senders import OrderSender
from jujubebarrow.runtimes.owned_tasks import OwnedTasks
from jujubebarrow.runtimes.owner_healths import OwnerHealth
from jujubebarrow.runtimes.owner_hooks import OwnerHooks
from jujubebarrow.runtimes.ownership_services import OwnershipService
from jujubebarrow.runtimes.pool_loaders import PoolLoader
from jujubebarrow.runtimes.progress_writers import DisplacedError, ProgressWriter
from jujubebarrow.runtimes.wave_controllers import WaveController
from jujubebarrow.runtimes.worker_sessions import WorkerSession
from jujubebarrow.runtimes.worker_sources import WorkerListener
from jujubebarrow.stores.stores import Store
from jujubebarrow.workloads.identifiers import FenceToken, WorkerId
from jujubebarrow.workloads.job_records import JobRecord
from jujubebarrow.workloads.task_keys import TaskKey
from jujubebarrow.workloads.worker_reports import WorkerEntry

PLAN_PERIOD_SECONDS = 0.1
"""Seconds between two plans when no event occurs, since leases expire and deadlines
pass without an event."""
EVENT_BATCH_SECONDS = 0.005
"""Seconds for which events are collected into one plan."""
PLAN_PAUSE_RATIO = 2.0
"""Pause between two plans relative to the time that the last one took, so that planning
leaves most of a slow core to orders and reports."""
PURGE_PLAN_COUNT = 300
"""Number of periodic plans between two deletions of closed jobs."""
RETRY_SECONDS = 0.2
"""Seconds before a failed read of the store is repeated."""
LOGGED_DETAIL_LIMIT = 120
"""Most characters of the detail in the log line of a failed load."""


class PoolOwner(JobListener, WorkerListener, OwnerHooks):
    """Schedules the jobs of one pool for as long as this instance owns the pool.

    Args:
        pool: Id of the owned pool.
        token: Fencing token of the claim of the pool.
        options: Durations of leases and grace periods.
        ownership: Reports until when this instance certainly owns the pool.
        store: Store shared by all instances.
        gateway: Sends orders to the workers.
        relay: Sends starts through other instances.
        backlog: Estimates what waits on this instance's link.
        make_wave_controller: Creates the controller for maintenance of the pool's
            machines.
        make_move_controller: Creates the controller that moves machines between
            pools.
        make_advice_controller: Creates the controller that requests placement advice
            for steps.
        machines: Client for the machine service.
        grant_watcher: Reports changes of the teams' stored grants.
        wait_for_feed: Waits until the change feed reports each job accepted later.
        read_store_time: Returns the present time of the store's clock in seconds, which
            is never too late; None if the feed may not have reported accepted jobs.
        clock: Time source; must keep running while a machine is suspended.
        log: Decision log.
        metrics: Registry of the counters and latencies.

    Attributes:
        pool: Id of the owned pool.
        coordinator: Makes the scheduling decisions of the pool.
        health: Tells why the loaded pool is not served in time.
    """

    def __init__(
        self,
        pool: PoolId,
        token: FenceToken,
        options: CoordinatorOptions,
        ownership: OwnershipService,
        store: Store,
        gateway: WorkerGateway,
        relay: StartRelay,
        backlog: LinkBacklog,
        make_wave_controller: Callable[[PoolCoordinator, OwnerHooks], WaveController],
        make_move_controller: Callable[
            [PoolCoordinator, OwnerHooks, WaveController], MoveController
        ],
        make_advice_controller: Callable[
            [PoolCoordinator, OwnerHooks], AdviceController
        ],
        machines: MachineControl,
        grant_watcher: GrantWatcher,
        wait_for_feed: Callable[[], Awaitable[None]],
        read_store_time: Callable[[], float | None],
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        self.pool = pool
        self._options = options
        self._ownership = ownership
        self._store = store
        self._gateway = gateway
        self._wait_for_feed = wait_for_feed
        self._read_store_time = read_store_time
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._tasks = OwnedTasks(log, metrics)
        self._sessions: dict[WorkerId, WorkerSession] = {}
        self._is_loaded = False
        self._loading_queues: set[QueueId] = set()
        self._reload_count = 0
        self._failing_load_count = 0
        self._is_reload_needed = False
        self._pending_jobs: dict[QueueId, list[JobRecord]] = {}
        # Cancelled jobs that this owner does not know, which may be loading.
        self._unknown_cancelled: set[JobId] = set()
        self._unknown_ends: set[TaskKey] = set()
        self._is_plan_scheduled = False
        self._plan_seconds = 0.0
        self._is_closed = False
        self._is_confirming = False
        now = clock.monotonic()
        self._claimed_at = now
        self._former_lease_end = ownership.find_former_lease_end(DutyId(pool))
        self.coordinator = PoolCoordinator(
            pool, token, options, now, log, self._former_lease_end
        )
        reports = LoadReports(pool, self.coordinator, self._find_count_time, clock)
        self._writer = ProgressWriter(
            pool,
            token,
            self.coordinator,
            reports,
            store,
            backlog,
            self._tasks,
            self.on_change,
            self.on_superseded,
            clock,
            log,
            metrics,
        )
        self.health = OwnerHealth(self.coordinator, self._writer)
        self._loader = PoolLoader(
            pool, self.coordinator, self._writer, store, clock, metrics
        )
        self._lease_recorder = LeaseRecorder(
            self.coordinator.state, store, self.on_superseded, clock, log, metrics
        )
        self._sender = OrderSender(
            self.coordinator,
            gateway,
            relay,
            backlog,
            self._tasks,
            self.can_send_orders,
            self.on_change,
            self._lease_recorder.request_record,
            clock,
            log,
            metrics,
        )
        self._foreign_ends = ForeignEndReporter(
            self.coordinator, store, self._tasks, self, clock, log, metrics
        )
        registry = self.coordinator.state.grants
        self._grant_controller = GrantController(
            pool,
            token,
            registry,
            store,
            grant_watcher,
            self.on_change,
            self.on_superseded,
            clock,
            log,
            metrics,
        )
        self._wave_controller = make_wave_controller(self.coordinator, self)
        self._move_controller = make_move_controller(
            self.coordinator, self, self._wave_controller
        )
        self._advice_controller = make_advice_controller(self.coordinator, self)
        self._absence_checker = AbsenceChecker(
            self.coordinator, machines, self.on_change, clock, log, metrics
        )
        self._cancellation_sweeper = CancellationSweeper(store, clock, log, metrics)
        self._load_reporter = LoadReporter(reports, self._writer, self._tasks)

    def open(self, fleet: FleetMap) -> None:
        """Apply the configuration and start to load the pool's leases and jobs.

        Args:
            fleet: Configuration that is currently in force.
        """
        self.apply_fleet(fleet)
        self._tasks.start(self._take_over())

    def close(self) -> None:
        """Stop all background tasks at once."""
        self._is_closed = True
        self._tasks.close()

    @property
    def is_closed(self) -> bool:
        """Whether the owner has stopped; a closed owner never starts again."""
        return self._is_closed

    @property
    def is_running(self) -> bool:
        """Whether the pool's jobs are loaded and the owner has not stopped."""
        return self._is_loaded and not self._is_closed

    @property
    def has_failing_load(self) -> bool:
        """Whether jobs are not loaded yet although an attempt to load them failed."""
        return self._failing_load_count > 0

    def apply_fleet(self, fleet: FleetMap) -> None:
        """Apply the teams' limits and weights and the queues' advice options."""
        limits = {team: spec.limit for team, spec in fleet.teams.items()}
        self.coordinator.state.grants.set_limits(limits)
        self.coordinator.fair_share.set_weights(
            {team: spec.weight for team, spec in fleet.teams.items()}
        )
        self.coordinator.state.advice.set_options(
            {
                queue: route.advice
                for queue, route in fleet.queues.items()
                if route.advice is not None
            }
        )
        self.on_change()

    def can_send_orders(self) -> bool:
        """Return whether orders may be sent, since the pool certainly is owned."""
        is_owned = self._clock.monotonic() < self._ownership.lease_valid_until
        return is_owned and not self.coordinator.state.is_claim_disputed

    def can_order_machines(self) -> bool:
        """Return whether orders may be sent that no fencing token protects."""
        has_former_owner = self._clock.monotonic() < self._former_lease_end
        return self.can_send_orders() and not has_former_owner

    def can_renew_leases(self) -> bool:
        """Return whether leases of runs may still be renewed."""
        deadline = self._ownership.lease_valid_until + self._options.superseded_renewal
        is_disputed = self.coordinator.state.is_claim_disputed
        return self._clock.monotonic() < deadline and not is_disputed

    async def _take_over(self) -> None:
        started_at = self._clock.monotonic()
        await self._wait_for_feed()
        self._is_reload_needed = False
        loaded = await gather(
            self._load_with_retries(self._lease_recorder.load),
            self._load_all_queues(),
        )
        if not all(loaded):
            return
        self._is_loaded = True
        state = self.coordinator.state
        self._log.write(
            "pool_taken_over",
            pool=self.pool,
            token=state.token,
            jobs=len(state.jobs),
            workers=len(state.workers),
            seconds=round(self._clock.monotonic() - started_at, 3),
        )
        if self._is_reload_needed:
            self.on_history_lost()
        pending_jobs, self._pending_jobs = self._pending_jobs, {}
        for records in pending_jobs.values():
            for record in records:
                self.on_job_accepted(record)
        self._apply_pending_changes()
        self._tasks.start_loop(self._plan_periodically)
        self._tasks.start_loop(self._grant_controller.run)
        self._tasks.start_loop(self._lease_recorder.run)
        self._tasks.start_loop(self._load_reporter.run)
        self._tasks.start_loop(self._cancellation_sweeper.run)
        self._tasks.start_loop(self._wave_controller.run)
        self._tasks.start_loop(self._move_controller.run)
        self._tasks.start_loop(self._advice_controller.run)
        self._tasks.start_loop(self._absence_checker.run)
        self.on_change()

    def _find_count_time(self, queue: QueueId) -> float | None:
        """Return the store's time, or None while jobs of a queue may be missing."""
        is_complete = (
            self._is_loaded
            and not self._reload_count
            and queue not in self._loading_queues
        )
        return self._read_store_time() if is_complete else None

    def on_job_accepted(self, record: JobRecord) -> None:
        """Add an accepted job; load its queue first if this owner lacks the fence."""
        if record.pool != self.pool or self._is_closed:
            return
        queue = record.queue
        if not self._is_loaded or not self._writer.has_fence(queue):
            self._pending_jobs.setdefault(queue, []).append(record)
            if self._is_loaded and queue not in self._loading_queues:
                self._loading_queues.add(queue)
                self._tasks.start(self._load_new_queue(queue))
            return
        self.coordinator.add_job(record, None, self._clock.monotonic())
        self.on_change()

    async def _load_new_queue(self, queue: QueueId) -> None:
        if not await self._load_with_retries(
            lambda: self._loader.load_queue(queue, False)
        ):
            return
        self._loading_queues.discard(queue)
        for record in self._pending_jobs.pop(queue, []):
            self.on_job_accepted(record)
        self._apply_pending_changes()
        self.on_change()

    def on_job_cancelled(self, queue: QueueId, job: JobId) -> None:
        """Stop a job whose cancellation has been stored."""
        if job not in self.coordinator.state.jobs:
            if self._is_loading:
                self._unknown_cancelled.add(job)
            return
        self.coordinator.cancel_job(job)
        self.on_change()

    def on_task_done_elsewhere(self, task: TaskKey) -> None:
        """Record the end of a task that a worker of another pool has done."""
        if task.job not in self.coordinator.state.jobs:
            if self._is_loading:
                self._unknown_ends.add(task)
            return
        self.coordinator.record_done_elsewhere(task)
        self.on_change()

    @property
    def _is_loading(self) -> bool:
        return bool(not self._is_loaded or self._reload_count or self._loading_queues)

    def _apply_pending_changes(self) -> None:
        """Apply the cancellations and ends that were reported during a load."""
        for job in list(self._unknown_cancelled):
            if job in self.coordinator.state.jobs:
                self._unknown_cancelled.discard(job)
                self.coordinator.cancel_job(job)
        for task in list(self._unknown_ends):
            if task.job in self.coordinator.state.jobs:
                self._unknown_ends.discard(task)
                self.coordinator.record_done_elsewhere(task)
        if not self._is_loading:
            self._unknown_cancelled.clear()
            self._unknown_ends.clear()

    def on_history_lost(self) -> None:
        """Reload all jobs, because the change feed has skipped some changes."""
        if not self._is_loaded:
            self._is_reload_needed = True
            return
        self._reload_count += 1
        self._tasks.start(self._reload())

    async def _reload(self) -> None:
        if await self._load_all_queues():
            self._reload_count -= 1
            self._apply_pending_changes()
            self.on_change()

    async def _load_all_queues(self) -> bool:
        loaded: set[QueueId] = set()
        return await self._load_with_retries(lambda: self._loader.load_queues(loaded))

    async def _load_with_retries(self, read: Callable[[], Awaitable[None]]) -> bool:
        """Retry a read until it succeeds; return whether the pool is still owned.

        Args:
            read: Reads rows from the store and applies them.
        """
        attempts = 0
        while True:
            attempts += 1
            try:
                await read()
            except DisplacedError:
                self.on_superseded()
                return False
            except StoreError as error:
                self._metrics.count("retry", "load")
                self._metrics.count("store_unanswered", str(error)[:40])
                self._log_failed_load(error, attempts)
                if attempts == 1:
                    self._failing_load_count += 1
                await sleep(RETRY_SECONDS)
            else:
                if attempts > 1:
                    self._failing_load_count -= 1
                return True

    def _log_failed_load(self, error: StoreError, attempts: int) -> None:
        if attempts.bit_count() > 1:
            # The first attempt and then each doubling of the attempts are logged.
            return
        self._log.write(
            "pool_load_failed",
            pool=self.pool,
            queue=error.queue if isinstance(error, QueueLoadError) else "",
            detail=str(error)[:LOGGED_DETAIL_LIMIT],
            seconds=round(self._clock.monotonic() - self._claimed_at, 3),
            attempts=attempts,
        )

    def on_worker_changed(self, entry: WorkerEntry) -> None:
        """Apply a new or changed registration of a worker."""
        if self._is_closed:
            return
        self._move_controller.observe_registration(entry)
        now = self._clock.monotonic()
        if entry.pool != self.pool:
            self.coordinator.state.ended_workers.observe_registration(entry)
            self.coordinator.state.record_other_registration(entry.worker, now)
            self.coordinator.handle_deregistration(entry.worker)
            return
        self.coordinator.handle_registration(entry, now)
        self.on_change()

    def on_worker_deregistered(self, worker: WorkerId) -> None:
        """Mark a worker as no longer registered."""
        self.coordinator.state.record_deregistration(worker, self._clock.monotonic())
        self.coordinator.handle_deregistration(worker)
        self.on_change()

    def on_orphaned_run(self, order: StopOrder) -> None:
        """Stop an orphaned run: a worker runs it, but no owner has a record of it."""
        self._sender.send_orphan_stop(order)

    def on_superseded(self) -> None:
        """Stop the owner at once, because another instance owns the pool."""
        if not self._is_closed:
            self._log.write("pool_displaced", pool=self.pool)
            self.close()

    def on_change(self) -> None:
        """Schedule one plan that covers all events of the next few milliseconds."""
        if self._is_loaded and not self._is_plan_scheduled and not self._is_closed:
            self._is_plan_scheduled = True
            self._tasks.start(self._plan_after_delay())

    async def _plan_after_delay(self) -> None:
        pause_seconds = min(PLAN_PAUSE_RATIO * self._plan_seconds, PLAN_PERIOD_SECONDS)
        await sleep(max(EVENT_BATCH_SECONDS, pause_seconds))
        self._is_plan_scheduled = False
        self._plan()

    def _plan(self) -> None:
        coordinator = self.coordinator
        started_at = self._clock.monotonic()
        if self.can_send_orders():
            coordinator.plan(
                started_at,
                self._clock.wall(),
                self._sender.count_sendable_starts(),
            )
        self._writer.write_changes()
        self._sender.send_released()
        self._foreign_ends.report_ends()
        self._update_sessions()
        self._plan_seconds = self._clock.monotonic() - started_at
        if coordinator.state.needs_confirmation and not self._is_confirming:
            self._is_confirming = True
            self._tasks.start(self._confirm_claim())

    async def _confirm_claim(self) -> None:
        """Confirm the claim for higher tokens; stop the owner if it does not hold."""
        try:
            while self.coordinator.state.needs_confirmation and not self._is_closed:
                await self._check_claim()
        finally:
            self._is_confirming = False
        self.on_change()

    async def _check_claim(self) -> None:
        state = self.coordinator.state
        refusal_count = state.refusal_count
        joined_workers = state.joined_workers
        try:
            revision = await self._ownership.confirm_claim(
                DutyId(self.pool), state.token
            )
        except (StoreError, TransactionConflictError) as error:
            self._metrics.count("confirmation_failed", type(error).__name__)
            await sleep(RETRY_SECONDS)
            return
        if revision is None:
            self.on_superseded()
            return
        state.confirm_claim(revision, refusal_count, joined_workers)
        self._log.write(
            "claim_confirmed",
            pool=self.pool,
            revision=revision,
            joined=len(joined_workers),
        )

    def _update_sessions(self) -> None:
        workers = self.coordinator.state.workers
        for name, worker in workers.items():
            session = self._sessions.get(name)
            if session is None or not session.is_for(worker):
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
                self._tasks.start_loop(session.run)
            elif worker.runs or worker.needs_contact:
                session.wake()
        for name in [name for name in self._sessions if name not in workers]:
            del self._sessions[name]

    async def _plan_periodically(self) -> None:
        plan_count = 0
        while True:
            self._plan()
            plan_count += 1
            if plan_count % PURGE_PLAN_COUNT == 0:
                closed_jobs = self.coordinator.remove_closed_jobs(self._clock.wall())
                if closed_jobs:
                    self._tasks.start(self._writer.delete_closed(closed_jobs))
            await sleep(PLAN_PERIOD_SECONDS)
