"""One entry instance without its sockets."""

from asyncio import Lock
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.coordinators.terms import CoordinatorTerms
from jujubebarrow.fleets.fleet_maps import FleetMap
from jujubebarrow.gateways.advisors import Advisor
from jujubebarrow.gateways.machine_controls import MachineControl
from jujubebarrow.gateways.worker_gateways import WorkerGateway
from jujubebarrow.identifiers import IncarnationId, InstanceId, JobId, PoolId
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.ownerships.holders import DutyId
from jujubebarrow.runtimes.advice_keepers import AdviceKeeper
from jujubebarrow.runtimes.fleet_sources import FleetSource
from jujubebarrow.runtimes.job_followers import JobFollower
from jujubebarrow.runtimes.job_intakes import JobIntake
from jujubebarrow.runtimes.load_boards import LoadBoard
from jujubebarrow.runtimes.move_keepers import MoveKeeper
from jujubebarrow.runtimes.owner_hooks import OwnerHooks
from jujubebarrow.runtimes.ownership_services import DutyListener, OwnershipService
from jujubebarrow.runtimes.pool_owners import PoolOwner
from jujubebarrow.runtimes.wave_keepers import WaveKeeper
from jujubebarrow.runtimes.wave_reporters import WaveReporter
from jujubebarrow.runtimes.wave_stores import WaveStore
from jujubebarrow.runtimes.worker_sources import WorkerSource
from jujubebarrow.stores.stores import Store
from jujubebarrow.workloads.identifiers import FenceToken
from jujubebarrow.workloads.job_phases import JobPhase


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryTerms:
    """What an entry instance is told by its settings.

    Attributes:
        instance: This instance.
        incarnation: This run of its process.
        address: IP and port for calls between instances; empty if it takes none.
        coordinator: Times for the owners of pools.
        downtime: Usual time in seconds that a machine is down for maintenance.
        machine_lease: Time in seconds after an order for a machine before another
            instance may give one.
    """

    instance: InstanceId
    incarnation: IncarnationId
    address: str
    coordinator: CoordinatorTerms
    downtime: float
    machine_lease: float


class EntryNode(DutyListener):
    """All parts of an entry instance, over adapters that are passed in.

    Args:
        terms: Settings.
        store: Store.
        follower: Configuration of the fleet.
        workers: Registrations of the workers.
        reporter: Tells operators how far a wave is.
        gateway: Workers.
        machines: Machines under the workers.
        advisor: Says which workers may run a step.
        clock: Time source; it must not stand still while a machine is suspended.
        log: Log of decisions.
        metrics: Counters.
        on_peers: Called with the addresses of the other live instances.
    """

    def __init__(
        self,
        terms: EntryTerms,
        store: Store,
        follower: FleetSource,
        workers: WorkerSource,
        reporter: WaveReporter,
        gateway: WorkerGateway,
        machines: MachineControl,
        advisor: Advisor,
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
        on_peers: Callable[[list[str]], None] = lambda addresses: None,
    ):
        self._terms = terms
        self._store = store
        self._gateway = gateway
        self._machines = machines
        self._advisor = advisor
        self._advice_turn = Lock()
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._owners: dict[PoolId, PoolOwner] = {}
        self._stopping = False
        self._on_peers = on_peers
        self.follower = follower
        self._board = LoadBoard(store, clock, metrics)
        self._wave_store = WaveStore(store, reporter, clock)
        self._workers = workers
        self._jobs = JobFollower(store, clock, log, metrics)
        self._ownership = OwnershipService(
            terms.instance,
            terms.incarnation,
            terms.address,
            store,
            self,
            clock,
            log,
            metrics,
        )
        self.intake = JobIntake(store, self._find_phase, clock, log, metrics)

    @property
    def is_ready(self) -> bool:
        """Whether new callers should be sent here."""
        return self.follower.is_fresh and not self._stopping

    @property
    def is_stopping(self) -> bool:
        """Whether the process is about to end."""
        return self._stopping

    async def open(self, stack: AsyncExitStack) -> None:
        """Start all parts; they are stopped with the stack.

        Args:
            stack: Owner of what is opened.
        """
        self.follower.listen(self._apply_fleet)
        for part in (self.follower, self._workers, self._jobs, self._ownership):
            part.open()
            stack.push_async_callback(part.close)
        stack.push_async_callback(self.close)

    async def hand_over(self) -> None:
        """Take no new callers, and let other instances own what this one owned."""
        self._stopping = True
        await self._ownership.hand_over()

    def is_serving(self, duty: DutyId) -> bool:
        """Return whether a duty is being carried out."""
        owner = self._owners.get(PoolId(duty))
        return owner is not None and not owner.is_closed

    def on_peers(self, addresses: list[str]) -> None:
        """Take over where the other live instances can be reached."""
        self._on_peers(addresses)

    def find_owner(self, pool: PoolId) -> PoolOwner | None:
        """Return the owner of a pool in this process."""
        return self._owners.get(pool)

    def owns(self, pool: PoolId) -> bool:
        """Return whether this instance runs a pool."""
        owner = self._owners.get(pool)
        return owner is not None and owner.is_running

    async def close(self) -> None:
        """End all duties at once, without handing them over."""
        for owner in self._owners.values():
            owner.close()

    def _apply_fleet(self, fleet: FleetMap) -> None:
        self._ownership.duties = [DutyId(pool) for pool in sorted(fleet.pools)]
        for owner in self._owners.values():
            owner.apply_fleet(fleet)

    def _find_phase(self, job: JobId) -> JobPhase | None:
        for owner in self._owners.values():
            ledger = owner.coordinator.state.jobs.get(job)
            if ledger is not None:
                return ledger.stored_phase
        return None

    async def on_claimed(self, duty: DutyId, token: FenceToken) -> None:
        """Begin a duty."""
        fleet = self.follower.fleet
        assert fleet is not None
        owner = PoolOwner(
            PoolId(duty),
            token,
            self._terms.coordinator,
            self._ownership,
            self._store,
            self._gateway,
            self._make_waves,
            self._make_moves,
            self._make_advice,
            self._jobs.wait_until_followed,
            self._clock,
            self._log,
            self._metrics,
        )
        self._owners[owner.pool] = owner
        self._jobs.listen(owner)
        self._workers.listen(owner)
        owner.open(fleet)

    def _make_waves(
        self, coordinator: PoolCoordinator, hooks: OwnerHooks
    ) -> WaveKeeper:
        return WaveKeeper(
            self._terms.instance,
            coordinator,
            self.follower,
            self._wave_store,
            self._machines,
            hooks,
            self._terms.downtime,
            self._terms.machine_lease,
            self._clock,
            self._log,
            self._metrics,
        )

    def _make_moves(
        self, coordinator: PoolCoordinator, hooks: OwnerHooks, waves: WaveKeeper
    ) -> MoveKeeper:
        fleet = self.follower.fleet
        spec = fleet.pools.get(coordinator.state.pool) if fleet else None
        return MoveKeeper(
            self._terms.instance,
            coordinator,
            self._board,
            spec is not None and spec.is_standby,
            self._machines,
            waves.is_busy,
            hooks,
            self._terms.machine_lease,
            self._clock,
            self._log,
            self._metrics,
        )

    def _make_advice(
        self, coordinator: PoolCoordinator, hooks: OwnerHooks
    ) -> AdviceKeeper:
        return AdviceKeeper(
            coordinator,
            self._advisor,
            self._advice_turn,
            hooks,
            self._clock,
            self._log,
            self._metrics,
        )

    async def on_lost(self, duty: DutyId) -> None:
        """End a duty that another instance has taken over."""
        owner = self._owners.pop(PoolId(duty), None)
        if owner is not None:
            owner.close()
            self._jobs.unlisten(owner)
            self._workers.unlisten(owner)
