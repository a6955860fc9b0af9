"""Maintenance of one pool's machines, for the waves that are under way."""

from asyncio import sleep

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.evacuations import Evacuator
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.coordinators.worker_ledgers import WorkerLedger
from jujubebarrow.errors.exceptions import StoreError, TransactionConflictError
from jujubebarrow.fleets.wave_requests import WaveRequest
from jujubebarrow.gateways.machine_controls import (
    Machine,
    MachineAnswer,
    MachineControl,
    MachineControlError,
    MachineState,
)
from jujubebarrow.identifiers import InstanceId
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.maintenance.wave_choices import (
    MachineLoad,
    choose_machine,
    must_hurry,
)
from jujubebarrow.maintenance.wave_records import (
    MachineUpkeep,
    UpkeepState,
    WaveRecord,
)
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.fleet_sources import FleetSource
from jujubebarrow.runtimes.owner_hooks import OwnerHooks
from jujubebarrow.runtimes.wave_stores import StoredWave, WaveStore
from jujubebarrow.workloads.identifiers import FenceToken, MachineId, WorkerId

PERIOD = 0.3
"""Seconds between two looks at a wave that is under way."""
IDLE_PERIOD = 0.5
"""Seconds between two looks for new waves."""
PATIENCE = 4.0
"""Seconds that tasks have to end by themselves before a machine goes down."""
LIST_AGE = 0.6
"""Seconds for which a list of machines serves."""


class WaveKeeper:
    """Takes the pool's machines of each wave through their maintenance.

    The wave's row in the store holds what each machine has come to; a machine is
    claimed there before it is drained, so that all owners together keep to the
    number of machines that may be down. The revision of the claim is the fencing
    token of the order.

    Args:
        instance: This instance.
        coordinator: Decisions on the pool.
        follower: Knows the requested waves.
        store: Store of the waves' progress.
        machines: Machine service.
        hooks: What the owner does on changes.
        downtime: Usual time in seconds that a machine is down.
        machine_lease: Time in seconds after an order for a machine before another
            instance may give one.
        clock: Time source.
        log: Log of decisions.
        metrics: Counters.
    """

    def __init__(
        self,
        instance: InstanceId,
        coordinator: PoolCoordinator,
        follower: FleetSource,
        store: WaveStore,
        machines: MachineControl,
        hooks: OwnerHooks,
        downtime: float,
        machine_lease: float,
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        self._instance = instance
        self._coordinator = coordinator
        self._evacuator = Evacuator(coordinator.state)
        self._follower = follower
        self._store = store
        self._machines = machines
        self._hooks = hooks
        self._downtime = downtime
        self._machine_lease = machine_lease
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._listed: list[Machine] = []
        self._listed_at = float("-inf")
        self._completed: set[int] = set()
        self._tokens: dict[tuple[int, MachineId], FenceToken] = {}
        self._claimed_at: dict[tuple[int, MachineId], float] = {}
        self._seen_at: dict[tuple[int, MachineId], float] = {}
        self._busy: set[MachineId] = set()

    async def run(self) -> None:
        """Serve waves until cancelled."""
        while self._machines.is_available:
            active = [
                wave
                for wave in self._follower.waves.values()
                if wave.wave not in self._completed
            ]
            for wave in active:
                try:
                    await self._serve(wave)
                except (StoreError, MachineControlError) as error:
                    self._metrics.count("wave_retry", type(error).__name__)
                except TransactionConflictError:
                    self._metrics.count("retry", "wave")
            await sleep(PERIOD if active else IDLE_PERIOD)

    def is_busy(self, machine: MachineId) -> bool:
        """Return whether a machine is being maintained, or drained for that."""
        return machine in self._busy

    async def _serve(self, wave: WaveRequest) -> None:
        await self._refresh_list()
        stored = await self._store.read(wave)
        if stored.record.is_completed:
            self._completed.add(wave.wave)
            await self._store.write(wave, stored, stored.record)
            self._log.write("wave_completed", wave=wave.wave)
            return
        by_name = {machine.machine: machine for machine in self._listed}
        self._busy = {
            name
            for name, upkeep in stored.record.machines.items()
            if upkeep.state in (UpkeepState.DRAINING, UpkeepState.DOWN)
        }
        own = {
            name: by_name[name]
            for name in stored.record.machines
            if name in by_name and by_name[name].pool == self._coordinator.state.pool
        }
        await self._drop_vanished(wave, stored, set(by_name))
        for name, machine in own.items():
            await self._advance(wave, stored, machine, stored.record.machines[name])
        await self._claim_next(wave, stored, own)

    async def _refresh_list(self) -> None:
        now = self._clock.monotonic()
        if now - self._listed_at > LIST_AGE:
            self._listed = await self._machines.list_machines()
            self._listed_at = now

    async def _drop_vanished(
        self, wave: WaveRequest, stored: StoredWave, present: set[MachineId]
    ) -> None:
        """Close the maintenance of machines that no longer exist."""
        gone = [
            name
            for name, upkeep in stored.record.machines.items()
            if name not in present and upkeep.state is not UpkeepState.DONE
        ]
        if not gone or not present:
            return
        record = stored.record.copy()
        for name in gone:
            record.machines[name] = MachineUpkeep(UpkeepState.DONE)
        self._log.write("wave_machines_gone", wave=wave.wave, machines=gone)
        await self._store.write(wave, stored, record)

    async def _advance(
        self,
        wave: WaveRequest,
        stored: StoredWave,
        machine: Machine,
        upkeep: MachineUpkeep,
    ) -> None:
        if upkeep.state is UpkeepState.DRAINING:
            await self._drain(wave, stored, machine, upkeep)
        elif upkeep.state is UpkeepState.DOWN and machine.state is MachineState.UP:
            await self._change(wave, stored, machine.machine, UpkeepState.DONE)

    async def _drain(
        self,
        wave: WaveRequest,
        stored: StoredWave,
        machine: Machine,
        upkeep: MachineUpkeep,
    ) -> None:
        key = (wave.wave, machine.machine)
        if key not in self._tokens:
            await self._take_machine(wave, stored, machine, upkeep)
            return
        self._cordon(machine.worker, True)
        now = self._clock.monotonic()
        waited = now - self._claimed_at[key]
        if not self._evacuator.evacuate(machine.worker, waited > PATIENCE):
            self._hooks.on_change()
            return
        answer = await self._machines.maintain(
            machine.machine, wave.wave, self._tokens[key]
        )
        self._log.write(
            "maintenance_ordered",
            wave=wave.wave,
            machine=machine.machine,
            worker=machine.worker,
            token=self._tokens[key],
            answer=answer.value,
            waited=round(waited, 2),
        )
        self._metrics.count("maintenance_order", answer.value)
        self._listed_at = float("-inf")
        if answer is MachineAnswer.DONE:
            await self._change(wave, stored, machine.machine, UpkeepState.DOWN)
        elif answer is MachineAnswer.FENCED:
            del self._tokens[key]
        elif answer in (MachineAnswer.UNKNOWN_MACHINE, MachineAnswer.NOT_IN_WAVE):
            await self._change(wave, stored, machine.machine, UpkeepState.DONE)

    async def _take_machine(
        self,
        wave: WaveRequest,
        stored: StoredWave,
        machine: Machine,
        upkeep: MachineUpkeep,
    ) -> None:
        """Take over a machine that another owner was draining."""
        key = (wave.wave, machine.machine)
        now = self._clock.monotonic()
        seen_at = self._seen_at.setdefault(key, now)
        # The former holder's last order must not be followed at once.
        if upkeep.holder != self._instance and now - seen_at < self._machine_lease:
            return
        record = stored.record.copy()
        record.machines[machine.machine] = MachineUpkeep(
            UpkeepState.DRAINING, self._instance
        )
        await self._write_claim(wave, stored, machine.machine, record)

    async def _write_claim(
        self,
        wave: WaveRequest,
        stored: StoredWave,
        machine: MachineId,
        record: WaveRecord,
    ) -> None:
        # No move may begin while the claim is under way.
        self._busy.add(machine)
        revision = await self._store.write(wave, stored, record)
        key = (wave.wave, machine)
        self._tokens[key] = FenceToken(revision)
        self._claimed_at[key] = self._clock.monotonic()

    async def _change(
        self,
        wave: WaveRequest,
        stored: StoredWave,
        machine: MachineId,
        state: UpkeepState,
    ) -> None:
        record = stored.record.copy()
        record.machines[machine] = MachineUpkeep(state, self._instance)
        await self._store.write(wave, stored, record)

    def _is_cordoned(self, machine: Machine) -> bool:
        worker = self._coordinator.state.workers.get(machine.worker)
        return worker is not None and worker.is_cordoned

    def _cordon(self, name: WorkerId, cordoned: bool) -> None:
        worker = self._coordinator.state.workers.get(name)
        if worker is not None:
            worker.is_cordoned = cordoned

    async def _claim_next(
        self, wave: WaveRequest, stored: StoredWave, own: dict[MachineId, Machine]
    ) -> None:
        record = stored.record
        if record.busy_count >= wave.most_at_once:
            return
        waiting = set(record.waiting)
        candidates = [
            self._describe(machine)
            for name, machine in own.items()
            if name in waiting
            and machine.state is MachineState.UP
            and not self._is_cordoned(machine)
        ]
        draining = sum(
            record.machines[name].state in (UpkeepState.DRAINING, UpkeepState.DOWN)
            for name in own
        )
        workers = list(self._coordinator.state.workers.values())
        known = [worker for worker in workers if worker.entry is not None]
        hurry = must_hurry(
            len(waiting),
            wave.most_at_once,
            stored.deadline - self._clock.monotonic(),
            self._downtime,
        )
        chosen = choose_machine(
            candidates, _share_in_use(known), draining, len(known), hurry
        )
        if chosen is None:
            return
        changed = record.copy()
        changed.machines[chosen] = MachineUpkeep(UpkeepState.DRAINING, self._instance)
        await self._write_claim(wave, stored, chosen, changed)
        self._log.write(
            "maintenance_claimed",
            wave=wave.wave,
            machine=chosen,
            pool_used=round(_share_in_use(known), 2),
            busy=record.busy_count,
            most=wave.most_at_once,
            hurry=hurry,
        )

    def _describe(self, machine: Machine) -> MachineLoad:
        worker = self._coordinator.state.workers.get(machine.worker)
        if worker is None:
            return MachineLoad(machine.machine, 0.0, 0)
        jobs = self._coordinator.state.jobs
        long_running = sum(
            run.task.job in jobs and jobs[run.task.job].record.is_long_running
            for run in worker.runs.values()
        )
        return MachineLoad(machine.machine, _share_in_use([worker]), long_running)


def _share_in_use(workers: list[WorkerLedger]) -> float:
    total = sum(worker.capacity.cpu for worker in workers)
    used = sum(worker.reserved.cpu for worker in workers)
    return used / total if total else 0.0
