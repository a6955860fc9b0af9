"""Maintains the machines of one pool for the active maintenance waves."""

from asyncio import gather, sleep
from collections import Counter
from collections.abc import Callable

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.evacuations import LASTING_HOLDS, DrainHold, Evacuator
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.errors.exceptions import StoreError, TransactionConflictError
from jujubebarrow.fleets.wave_requests import WaveRequest
from jujubebarrow.gateways.machine_controls import (
    Machine,
    MachineControl,
    MachineControlError,
    MachineOrderOutcome,
    MachineState,
)
from jujubebarrow.identifiers import InstanceId
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.maintenance.blocked_drains import BlockedDrains
from jujubebarrow.maintenance.wave_choices import DRAIN_GRACE_SECONDS
from jujubebarrow.maintenance.wave_records import (
    MachineMaintenance,
    MachineMaintenanceState,
    WaveRecord,
)
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.fleet_sources import FleetSource
from jujubebarrow.runtimes.machine_workers import MachineWorkers
from jujubebarrow.runtimes.order_gates import OrderGate
from jujubebarrow.runtimes.owner_hooks import OwnerHooks
from jujubebarrow.runtimes.wave_claims import WaveClaims
from jujubebarrow.runtimes.wave_stores import StoredWave, WaveStore
from jujubebarrow.workloads.identifiers import (
    FenceToken,
    MachineId,
    WorkerId,
    WorkerIncarnation,
)

ACTIVE_POLL_SECONDS = 0.3
"""Seconds between two polls of an active wave."""
IDLE_POLL_SECONDS = 0.5
"""Seconds between two polls for new waves."""
CONFLICT_ATTEMPTS = 5
"""Attempts to change the row of a wave in a round, since the owners of all pools change
it."""
MACHINE_LIST_AGE_SECONDS = 0.6
"""Age up to which the cached list of machines is used."""


class WaveController:
    """Drains and maintains the machines of each wave that belong to the pool.

    The wave's row in the store holds the state of each machine. A machine is claimed
    in that row before the drain begins, so that the owners of all pools together
    respect the wave's limit on machines under maintenance. The revision of the claim
    is the fencing token of the maintenance order.

    Args:
        instance: Id of this instance.
        coordinator: Makes the scheduling decisions of the pool.
        fleet_source: Source of the requested waves.
        store: Reads and writes the progress of waves.
        machines: Client for the machine service.
        machine_workers: Observes the workers of the listed machines.
        gate: Checks the permission to send an order.
        hooks: Callbacks into the pool's owner.
        downtime: Usual duration of a machine's maintenance in seconds.
        machine_lease: Time in seconds after an instance's order for a machine during
            which no other instance may send an order for that machine.
        can_order: Returns whether that time has passed since the last move of a
            machine, or whether the move was ordered by this instance.
        clock: Time source.
        log: Decision log.
        metrics: Registry of the counters.
    """

    def __init__(
        self,
        instance: InstanceId,
        coordinator: PoolCoordinator,
        fleet_source: FleetSource,
        store: WaveStore,
        machines: MachineControl,
        machine_workers: MachineWorkers,
        gate: OrderGate,
        hooks: OwnerHooks,
        downtime: float,
        machine_lease: float,
        can_order: Callable[[MachineId], bool],
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        self._instance = instance
        self._coordinator = coordinator
        self._evacuator = Evacuator(coordinator.state)
        self._fleet_source = fleet_source
        self._store = store
        self._machines = machines
        self._machine_workers = machine_workers
        self._gate = gate
        self._hooks = hooks
        self._machine_lease = machine_lease
        self._blocked_drains = BlockedDrains()
        self._claims = WaveClaims(
            coordinator,
            self._evacuator,
            self._blocked_drains,
            downtime,
            can_order,
            self.is_under_maintenance,
            clock,
            log,
        )
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._listed: list[Machine] = []
        self._listed_at = float("-inf")
        self._completed_waves: set[int] = set()
        self._tokens: dict[tuple[int, MachineId], FenceToken] = {}
        self._claimed_at: dict[tuple[int, MachineId], float] = {}
        self._first_seen_at: dict[tuple[int, MachineId], float] = {}
        # Machines that may go down at any time, whatever the answer to the order was.
        self._ordered: set[tuple[int, MachineId]] = set()
        # Machines whose maintenance has begun or ended, which is not stored yet.
        self._unstored: dict[tuple[int, MachineId], MachineMaintenanceState] = {}
        self._machines_under_maintenance: dict[int, set[MachineId]] = {}
        self._holds: dict[tuple[int, MachineId], Counter[DrainHold]] = {}
        # Incarnation of each worker that this controller has cordoned.
        self._cordoned: dict[tuple[int, MachineId], WorkerIncarnation] = {}

    async def run(self) -> None:
        """Execute the requested waves until cancelled."""
        while self._machines.is_available:
            active = [
                wave
                for wave in self._fleet_source.waves.values()
                if wave.wave not in self._completed_waves
            ]
            for wave in active:
                try:
                    await self._process_with_retries(wave)
                except (StoreError, MachineControlError) as error:
                    self._metrics.count("wave_retry", type(error).__name__)
            await sleep(ACTIVE_POLL_SECONDS if active else IDLE_POLL_SECONDS)

    async def _process_with_retries(self, wave: WaveRequest) -> None:
        """Process a wave anew if another pool's owner has changed its row meanwhile."""
        for _ in range(CONFLICT_ATTEMPTS):
            try:
                return await self._process_wave(wave)
            except TransactionConflictError:
                self._metrics.count("retry", "wave")

    def is_under_maintenance(self, machine: MachineId) -> bool:
        """Return whether a machine is being maintained or drained for maintenance."""
        return any(
            machine in machines
            for machines in self._machines_under_maintenance.values()
        )

    async def _process_wave(self, wave: WaveRequest) -> None:
        """Advance the pool's machines and claim the next ones, with one write.

        Raises:
            TransactionConflictError: The owner of another pool has changed the row.
            StoreError: A read failed, or whether the row was stored is unknown.
            MachineControlError: The machines could not be listed.
        """
        await self._refresh_list()
        stored = await self._store.read(wave)
        self._forget_taken_back(wave, stored.record)
        self._uncordon_finished(wave, stored.record)
        machines_by_id = {machine.machine: machine for machine in self._listed}
        pool_machines = {
            name: machines_by_id[name]
            for name in stored.record.machines
            if name in machines_by_id
            and machines_by_id[name].pool == self._coordinator.state.pool
        }
        self._mark_due(stored.record, pool_machines)
        if stored.record.is_completed:
            self._completed_waves.add(wave.wave)
            self._machines_under_maintenance.pop(wave.wave, None)
            await self._store.write(wave, stored, stored.record)
            self._log.write("wave_completed", wave=wave.wave)
            return
        self._machines_under_maintenance[wave.wave] = {
            name
            for name, maintenance in stored.record.machines.items()
            if maintenance.state
            in (MachineMaintenanceState.DRAINING, MachineMaintenanceState.DOWN)
        }
        record = stored.record.copy()
        self._finish_vanished(wave, record, set(machines_by_id))
        await self._advance_machines(wave, record, pool_machines)
        reclaimed = self._reclaim_machines(wave, record, pool_machines)
        claimed = self._claims.choose(
            wave, stored.deadline, record, pool_machines, self._listed
        )
        for name in claimed:
            self._set_state(record, name, MachineMaintenanceState.DRAINING)
        if record.machines == stored.record.machines and not reclaimed:
            return
        await self._write(wave, stored, record, reclaimed + claimed)
        for machine in claimed:
            self._log.write(
                "maintenance_claimed",
                wave=wave.wave,
                machine=machine,
                busy=record.in_maintenance_count,
                most=wave.max_concurrent,
            )

    def _mark_due(
        self, record: WaveRecord, pool_machines: dict[MachineId, Machine]
    ) -> None:
        """Let long-running tasks avoid the machines that are still to be maintained."""
        for name, machine in pool_machines.items():
            worker = self._coordinator.state.workers.get(machine.worker)
            if worker is not None:
                worker.score.is_maintenance_due = record.machines[name].state in (
                    MachineMaintenanceState.WAITING,
                    MachineMaintenanceState.DRAINING,
                )

    async def _write(
        self,
        wave: WaveRequest,
        stored: StoredWave,
        record: WaveRecord,
        claimed: list[MachineId],
    ) -> None:
        # Added before the write, so that no machine is moved during the write.
        machines = self._machines_under_maintenance.setdefault(wave.wave, set())
        machines.update(claimed)
        revision = await self._store.write(wave, stored, record)
        now = self._clock.monotonic()
        for machine in claimed:
            self._tokens[wave.wave, machine] = FenceToken(revision)
            self._claimed_at[wave.wave, machine] = now
        for key in [key for key in self._unstored if key[0] == wave.wave]:
            del self._unstored[key]

    async def _refresh_list(self) -> None:
        now = self._clock.monotonic()
        if now - self._listed_at > MACHINE_LIST_AGE_SECONDS:
            self._listed = await self._machines.list_machines()
            self._listed_at = now
            self._machine_workers.observe(self._listed, now, self._clock.monotonic())

    def _finish_vanished(
        self, wave: WaveRequest, record: WaveRecord, present: set[MachineId]
    ) -> None:
        """Mark the maintenance of machines that no longer exist as done."""
        vanished = [
            name
            for name, maintenance in record.machines.items()
            if name not in present
            and maintenance.state is not MachineMaintenanceState.DONE
        ]
        if not vanished or not present:
            return
        for name in vanished:
            record.machines[name] = MachineMaintenance(MachineMaintenanceState.DONE)
        self._log.write("wave_machines_gone", wave=wave.wave, machines=vanished)

    async def _advance_machines(
        self,
        wave: WaveRequest,
        record: WaveRecord,
        pool_machines: dict[MachineId, Machine],
    ) -> None:
        """Order the maintenance of drained machines and mark what has changed."""
        drained = []
        for name, machine in pool_machines.items():
            state = record.machines[name].state
            if (
                state is MachineMaintenanceState.DOWN
                and machine.state is MachineState.UP
            ):
                self._set_state(record, name, MachineMaintenanceState.DONE)
            elif state is MachineMaintenanceState.DRAINING:
                if self._drain(wave, machine):
                    drained.append(machine)
                elif self._blocked_drains.is_unstored((wave.wave, name)):
                    record.machines[name] = MachineMaintenance()
        await gather(*(self._order_maintenance(wave, machine) for machine in drained))
        for name in pool_machines:
            state = record.machines[name].state
            unstored = self._unstored.get((wave.wave, name))
            if unstored and state is MachineMaintenanceState.DRAINING:
                self._set_state(record, name, unstored)

    def _set_state(
        self, record: WaveRecord, machine: MachineId, state: MachineMaintenanceState
    ) -> None:
        record.machines[machine] = MachineMaintenance(state, self._instance)

    def _drain(self, wave: WaveRequest, machine: Machine) -> bool:
        """Drain a machine; return whether its maintenance can be ordered now."""
        key = (wave.wave, machine.machine)
        if key not in self._tokens or key in self._unstored:
            return False
        self._cordon(key, machine.worker)
        waited_seconds = self._clock.monotonic() - self._claimed_at[key]
        holds = self._evacuator.evacuate(
            machine.worker, waited_seconds > DRAIN_GRACE_SECONDS
        )
        self._log_holds(key, machine.worker, holds, waited_seconds)
        if not holds:
            return True
        held_count = sum(holds[hold] for hold in LASTING_HOLDS)
        is_blocked = self._blocked_drains.record_held(
            key, held_count, self._clock.monotonic()
        )
        if is_blocked and key not in self._ordered:
            self._take_back(key, machine.worker, waited_seconds)
        self._hooks.on_change()
        return False

    def _take_back(
        self, key: tuple[int, MachineId], worker: WorkerId, waited_seconds: float
    ) -> None:
        """Let a machine wait again whose maintenance has not been ordered.

        The worker accepts tasks as soon as that is stored. Without the token, the
        maintenance can't be ordered even if the write is executed late.
        """
        del self._tokens[key]
        self._first_seen_at.pop(key, None)
        self._blocked_drains.take_back(key)
        self._log.write(
            "drain_taken_back",
            wave=key[0],
            machine=key[1],
            worker=worker,
            waited=round(waited_seconds, 2),
        )
        self._metrics.count("drain", "taken back")

    def _forget_taken_back(self, wave: WaveRequest, record: WaveRecord) -> None:
        """Note which drains are stored as taken back, or are those of another owner."""
        for name, maintenance in record.machines.items():
            if (
                maintenance.state is not MachineMaintenanceState.DRAINING
                or maintenance.holder != self._instance
            ):
                self._blocked_drains.mark_stored((wave.wave, name))

    def _log_holds(
        self,
        key: tuple[int, MachineId],
        worker: WorkerId,
        holds: Counter[DrainHold],
        waited_seconds: float,
    ) -> None:
        """Log why long-running tasks stay on a machine, whenever that changes."""
        lasting = Counter({hold: holds[hold] for hold in LASTING_HOLDS if holds[hold]})
        if lasting == self._holds.get(key, Counter()):
            return
        self._holds[key] = lasting
        workers = self._coordinator.state.workers.values()
        self._log.write(
            "drain_held",
            wave=key[0],
            machine=key[1],
            worker=worker,
            runs={hold.value: count for hold, count in holds.items()},
            accepting=sum(worker.is_available for worker in workers),
            waited=round(waited_seconds, 2),
        )

    async def _order_maintenance(self, wave: WaveRequest, machine: Machine) -> None:
        key = (wave.wave, machine.machine)
        token = self._tokens[key]
        self._ordered.add(key)
        try:
            outcome = await self._gate.send(
                self._hooks.can_order_machines,
                lambda: self._machines.maintain(machine.machine, wave.wave, token),
            )
        except MachineControlError as error:
            # The order is repeated in the next round, which is harmless.
            self._metrics.count("wave_retry", type(error).__name__)
            return
        if outcome is None:
            return
        self._log.write(
            "maintenance_ordered",
            wave=wave.wave,
            machine=machine.machine,
            worker=machine.worker,
            token=token,
            answer=outcome.value,
            waited=round(self._clock.monotonic() - self._claimed_at[key], 2),
        )
        self._metrics.count("maintenance_order", outcome.value)
        self._listed_at = float("-inf")
        if outcome is MachineOrderOutcome.DONE:
            self._unstored[key] = MachineMaintenanceState.DOWN
        elif outcome is MachineOrderOutcome.FENCED:
            del self._tokens[key]
        elif outcome in (
            MachineOrderOutcome.UNKNOWN_MACHINE,
            MachineOrderOutcome.NOT_IN_WAVE,
        ):
            self._unstored[key] = MachineMaintenanceState.DONE

    def _reclaim_machines(
        self,
        wave: WaveRequest,
        record: WaveRecord,
        pool_machines: dict[MachineId, Machine],
    ) -> list[MachineId]:
        """Claim draining machines for which this instance has no fencing token."""
        now = self._clock.monotonic()
        reclaimed = []
        for name in pool_machines:
            key = (wave.wave, name)
            maintenance = record.machines[name]
            if (
                maintenance.state is not MachineMaintenanceState.DRAINING
                or key in self._tokens
            ):
                continue
            seen_at = self._first_seen_at.setdefault(key, now)
            # The former holder may have sent an order just before this instance first
            # saw the claim, and orders of two holders for one machine must be at least
            # machine_lease apart.
            is_own = maintenance.holder == self._instance
            if is_own or now - seen_at >= self._machine_lease:
                self._set_state(record, name, MachineMaintenanceState.DRAINING)
                reclaimed.append(name)
        return reclaimed

    def _cordon(self, key: tuple[int, MachineId], name: WorkerId) -> None:
        worker = self._coordinator.state.workers.get(name)
        if worker is not None:
            worker.is_cordoned = True
            self._cordoned[key] = worker.incarnation

    def _uncordon_finished(self, wave: WaveRequest, record: WaveRecord) -> None:
        """Let workers accept tasks again whose machines are not being maintained.

        Most workers have restarted by then, which has reset them, or have ended, and
        their machines have other ones.
        """
        for key, incarnation in list(self._cordoned.items()):
            maintenance = record.machines.get(key[1])
            is_finished = maintenance is None or maintenance.state in (
                MachineMaintenanceState.WAITING,
                MachineMaintenanceState.DONE,
            )
            if key[0] != wave.wave or not is_finished:
                continue
            del self._cordoned[key]
            name = WorkerId(incarnation[0])
            if self._machine_workers.has_ended(name):
                reason = "machine has another worker"
                self._coordinator.handle_worker_end(name, reason)
                self._hooks.on_change()
                continue
            worker = self._coordinator.state.workers.get(name)
            if worker is not None and worker.incarnation == incarnation:
                worker.is_cordoned = False
                self._hooks.on_change()
