"""Entry instance without its network listeners."""

from asyncio import Lock
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from random import Random

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.coordinator_options import CoordinatorOptions
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.fleets.fleet_maps import FleetMap
from jujubebarrow.gateways.advisors import Advisor
from jujubebarrow.gateways.machine_controls import MachineControl
from jujubebarrow.gateways.start_executors import StartExecutor
from jujubebarrow.gateways.start_relays import StartRelay
from jujubebarrow.gateways.worker_gateways import WorkerGateway
from jujubebarrow.identifiers import (
    IncarnationId,
    InstanceId,
    JobId,
    PoolId,
    QueueId,
    ZoneId,
)
from jujubebarrow.links.link_backlogs import LinkBacklog
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.ownerships.ownership_rows import (
    DEFAULT_POOL_CAPACITY,
    UNKNOWN_ZONE,
    DutyId,
    InstanceRow,
)
from jujubebarrow.ownerships.peer_probes import PeerProbe
from jujubebarrow.ownerships.service_obstacles import ServiceObstacle
from jujubebarrow.runtimes.advice_controllers import AdviceController
from jujubebarrow.runtimes.duty_listeners import DutyListener
from jujubebarrow.runtimes.fleet_sources import FleetSource
from jujubebarrow.runtimes.grant_watchers import GrantWatcher
from jujubebarrow.runtimes.job_intakes import JobIntake
from jujubebarrow.runtimes.job_watchers import JobWatcher
from jujubebarrow.runtimes.load_registries import LoadRegistry
from jujubebarrow.runtimes.machine_workers import MachineWorkers
from jujubebarrow.runtimes.move_controllers import MoveController
from jujubebarrow.runtimes.order_gates import OrderGate
from jujubebarrow.runtimes.owner_hooks import OwnerHooks
from jujubebarrow.runtimes.ownership_services import OwnershipService
from jujubebarrow.runtimes.pool_owners import PoolOwner
from jujubebarrow.runtimes.wave_controllers import WaveController
from jujubebarrow.runtimes.wave_reporters import WaveReporter
from jujubebarrow.runtimes.wave_stores import WaveStore
from jujubebarrow.runtimes.worker_id_observers import WorkerIdObserver
from jujubebarrow.runtimes.worker_sources import WorkerSource
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import ABSENT_REVISION
from jujubebarrow.workloads.identifiers import FenceToken, MachineId
from jujubebarrow.workloads.job_phases import JobPhase


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryOptions:
    """Settings of an entry instance.

    Attributes:
        instance: Id of this instance.
        incarnation: Id of the present run of the instance's process.
        address: IP and port for calls from other instances; empty if the instance
            accepts no calls.
        coordinator_options: Durations of leases and grace periods for the owners of
            pools.
        downtime: Usual duration of a machine's maintenance in seconds.
        machine_lease: Time in seconds after an instance's order for a machine during
            which no other instance may send an order for that machine.
        zone: Availability zone of this instance; empty if unknown.
        pool_capacity: Number of busy pools that this instance can own at a time.
    """

    instance: InstanceId
    incarnation: IncarnationId
    address: str
    coordinator_options: CoordinatorOptions
    downtime: float
    machine_lease: float
    zone: ZoneId = UNKNOWN_ZONE
    pool_capacity: float = DEFAULT_POOL_CAPACITY


class EntryNode(DutyListener):
    """Composes the components of an entry instance from the given adapters.

    Args:
        options: Settings of the instance.
        store: Store shared by all instances.
        probe: Asks other instances whether they can keep their leases.
        fleet_source: Source of the fleet's configuration.
        worker_source: Source of the workers' registrations.
        reporter: Creates the documents that show operators the status of a wave.
        gateway: Sends orders to the workers.
        start_relay: Sends starts through other instances.
        backlog: Estimates what waits on this instance's link.
        machines: Client for the machine service.
        advisor: Client for the placement advice service.
        clock: Time source; must keep running while a machine is suspended.
        log: Decision log.
        metrics: Registry of the counters and latencies.
        random: Random generator of this instance's delays.
        on_peers: Called with the addresses of the other live instances when they have
            changed.

    Attributes:
        fleet_source: Source of the fleet's configuration.
        intake: Accepts, reports and cancels callers' jobs.
        start_executor: Sends the starts that other instances relay to this one.
    """

    def __init__(
        self,
        options: EntryOptions,
        store: Store,
        probe: PeerProbe,
        fleet_source: FleetSource,
        worker_source: WorkerSource,
        reporter: WaveReporter,
        gateway: WorkerGateway,
        start_relay: StartRelay,
        backlog: LinkBacklog,
        machines: MachineControl,
        advisor: Advisor,
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
        random: Random,
        on_peers: Callable[[list[str]], None] = lambda addresses: None,
    ):
        self._options = options
        self._store = store
        self._gateway = gateway
        self._start_relay = start_relay
        self._backlog = backlog
        self._machines = machines
        self._advisor = advisor
        self._advice_lock = Lock()
        self._order_gate = OrderGate(metrics)
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._owners: dict[PoolId, PoolOwner] = {}
        self._is_stopping = False
        self._on_peers = on_peers
        self.fleet_source = fleet_source
        self._worker_ids = WorkerIdObserver()
        self._machine_workers = MachineWorkers()
        self._load_registry = LoadRegistry(
            store, clock, metrics, self._worker_ids.record_move
        )
        self._wave_store = WaveStore(store, reporter, clock)
        self._worker_source = worker_source
        self._job_watcher = JobWatcher(store, clock, log, metrics)
        self._grant_watcher = GrantWatcher(store, clock, log, metrics)
        self._ownership = OwnershipService(
            InstanceRow(
                options.instance,
                options.incarnation,
                is_stopping=False,
                address=options.address,
                revision=ABSENT_REVISION,
                zone=options.zone,
                pool_capacity=options.pool_capacity,
            ),
            store,
            probe,
            self,
            random,
            clock,
            log,
            metrics,
        )
        self.start_executor = StartExecutor(gateway, backlog)
        self.intake = JobIntake(
            store,
            self._find_phase,
            clock,
            log,
            metrics,
            options.coordinator_options.row_limit,
        )

    @property
    def is_ready(self) -> bool:
        """Whether load balancers may send new requests to this instance."""
        return self.fleet_source.is_fresh and not self._is_stopping

    @property
    def is_stopping(self) -> bool:
        """Whether the instance is shutting down."""
        return self._is_stopping

    @property
    def fails_to_renew(self) -> bool:
        """Whether the instance owns or may claim pools and cannot renew its lease."""
        return self._ownership.is_failing

    async def open(self, stack: AsyncExitStack) -> None:
        """Start all components and register their shutdown with the stack.

        Args:
            stack: Exit stack whose closing stops the components.
        """
        self.fleet_source.add_listener(self._apply_configuration)
        for component in (
            self.fleet_source,
            self._worker_source,
            self._job_watcher,
            self._grant_watcher,
            self._ownership,
        ):
            component.open()
            stack.push_async_callback(component.close)
        stack.push_async_callback(self.close)

    async def hand_over(self) -> None:
        """Become not ready, then release all duties for other instances to claim."""
        self._is_stopping = True
        await self._ownership.hand_over()

    def is_serving(self, duty: DutyId) -> bool:
        """Return whether the pool owner for a duty exists and is not closed."""
        owner = self._owners.get(PoolId(duty))
        return owner is not None and not owner.is_closed

    def find_obstacle(self, duty: DutyId) -> ServiceObstacle | None:
        """Return why the owner of a pool cannot serve it in time; None if it can."""
        owner = self._owners.get(PoolId(duty))
        if owner is None or not owner.is_running:
            return ServiceObstacle.NOT_LOADED
        if self._job_watcher.read_store_time() is None:
            return ServiceObstacle.FEED_LATE
        if owner.has_failing_load:
            return ServiceObstacle.QUEUE_UNREAD
        return owner.health.find_obstacle()

    def on_peers_changed(self, addresses: list[str]) -> None:
        """Forward the addresses of the other live instances."""
        self._on_peers(addresses)

    def find_owner(self, pool: PoolId) -> PoolOwner | None:
        """Return the pool's owner, or None if this instance does not own the pool."""
        return self._owners.get(pool)

    def owns(self, pool: PoolId) -> bool:
        """Return whether this instance owns a pool and has loaded the pool's state."""
        owner = self._owners.get(pool)
        return owner is not None and owner.is_running

    async def close(self) -> None:
        """Stop all duties immediately, without releasing them to other instances."""
        for owner in self._owners.values():
            owner.close()

    def _apply_configuration(self, fleet: FleetMap) -> None:
        self._ownership.duties = [DutyId(pool) for pool in sorted(fleet.pools)]
        for owner in self._owners.values():
            owner.apply_fleet(fleet)

    def _find_phase(self, queue: QueueId, job: JobId) -> JobPhase | None:
        for owner in self._owners.values():
            progress = owner.coordinator.state.jobs.get(job)
            if progress is not None and progress.record.queue == queue:
                return progress.stored_phase
        return None

    async def on_claimed(self, duty: DutyId, token: FenceToken) -> None:
        """Start owning the pool of a claimed duty."""
        fleet = self.fleet_source.fleet
        assert fleet is not None
        owner = PoolOwner(
            PoolId(duty),
            token,
            self._options.coordinator_options,
            self._ownership,
            self._store,
            self._gateway,
            self._start_relay,
            self._backlog,
            self._make_wave_controller,
            self._make_move_controller,
            self._make_advice_controller,
            self._machines,
            self._grant_watcher,
            self._job_watcher.wait_until_loaded,
            self._job_watcher.read_store_time,
            self._clock,
            self._log,
            self._metrics,
        )
        self._owners[owner.pool] = owner
        self._job_watcher.add_listener(owner)
        self._worker_source.add_listener(owner)
        owner.open(fleet)

    def _make_wave_controller(
        self, coordinator: PoolCoordinator, hooks: OwnerHooks
    ) -> WaveController:
        return WaveController(
            self._options.instance,
            coordinator,
            self.fleet_source,
            self._wave_store,
            self._machines,
            self._machine_workers,
            self._order_gate,
            hooks,
            self._options.downtime,
            self._options.machine_lease,
            self._can_order,
            self._clock,
            self._log,
            self._metrics,
        )

    def _can_order(self, machine: MachineId) -> bool:
        return self._load_registry.can_order(
            machine, self._options.instance, self._options.machine_lease
        )

    def _make_move_controller(
        self,
        coordinator: PoolCoordinator,
        hooks: OwnerHooks,
        wave_controller: WaveController,
    ) -> MoveController:
        fleet = self.fleet_source.fleet
        spec = fleet.pools.get(coordinator.state.pool) if fleet else None
        return MoveController(
            self._options.instance,
            coordinator,
            self._load_registry,
            self._worker_ids,
            self._machine_workers,
            spec is not None and spec.is_standby,
            self._machines,
            self._order_gate,
            wave_controller.is_under_maintenance,
            hooks,
            self._options.machine_lease,
            self._clock,
            self._log,
            self._metrics,
        )

    def _make_advice_controller(
        self, coordinator: PoolCoordinator, hooks: OwnerHooks
    ) -> AdviceController:
        return AdviceController(
            coordinator,
            self._advisor,
            self._advice_lock,
            hooks,
            self._clock,
            self._log,
            self._metrics,
        )

    async def on_lost(self, duty: DutyId) -> None:
        """Stop owning the pool of a duty that this instance has lost."""
        owner = self._owners.pop(PoolId(duty), None)
        if owner is not None:
            owner.close()
            self._job_watcher.remove_listener(owner)
            self._worker_source.remove_listener(owner)
