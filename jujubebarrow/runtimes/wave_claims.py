"""Choice of the machines of one pool that a maintenance wave drains next."""

from collections.abc import Callable

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.evacuations import Evacuator
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.coordinators.worker_views import WorkerView
from jujubebarrow.fleets.wave_requests import WaveRequest
from jujubebarrow.gateways.machine_controls import Machine, MachineState
from jujubebarrow.maintenance.blocked_drains import BlockedDrains, DrainKey
from jujubebarrow.maintenance.step_drains import StepDrains
from jujubebarrow.maintenance.wave_choices import (
    DRAIN_GRACE_SECONDS,
    MachineLoad,
    choose_machine,
    is_wave_urgent,
)
from jujubebarrow.maintenance.wave_records import (
    MachineMaintenanceState,
    WaveRecord,
)
from jujubebarrow.workloads.identifiers import MachineId, StepKey


class WaveClaims:
    """Chooses machines to drain, as many as the wave and the pool allow.

    Args:
        coordinator: Makes the scheduling decisions of the pool.
        evacuator: Tells which tasks of the pool's workers may be moved.
        blocked_drains: Drains that have been taken back.
        downtime: Usual duration of a machine's maintenance in seconds.
        can_order: Returns whether a machine may be ordered by this instance now.
        clock: Time source.
    """

    def __init__(
        self,
        coordinator: PoolCoordinator,
        evacuator: Evacuator,
        blocked_drains: BlockedDrains,
        downtime: float,
        can_order: Callable[[MachineId], bool],
        clock: Clock,
    ):
        self._coordinator = coordinator
        self._evacuator = evacuator
        self._blocked_drains = blocked_drains
        self._downtime = downtime
        self._can_order = can_order
        self._clock = clock

    def choose(
        self,
        wave: WaveRequest,
        deadline: float,
        record: WaveRecord,
        pool_machines: dict[MachineId, Machine],
    ) -> list[MachineId]:
        """Return the machines to drain next.

        Args:
            wave: Request that the machines belong to.
            deadline: Monotonic time in seconds by which the maintenance of every
                machine must have begun.
            record: State of each machine of the wave.
            pool_machines: Machines of the wave that belong to the pool.
        """
        waiting = set(record.waiting)
        absences: dict[StepKey, int] = {}
        loads = {
            name: self._measure_load(machine, absences)
            for name, machine in pool_machines.items()
            if name in waiting
            and machine.state is MachineState.UP
            and not self._is_cordoned(machine)
            and self._can_order(name)
            and self._may_be_emptied((wave.wave, name), machine)
        }
        states = {name: record.machines[name].state for name in pool_machines}
        draining = [
            self._measure_load(machine, absences)
            for name, machine in pool_machines.items()
            if states[name] is MachineMaintenanceState.DRAINING
        ]
        step_drains = StepDrains(draining, list(loads.values()))
        in_maintenance_count = len(draining) + sum(
            state is MachineMaintenanceState.DOWN for state in states.values()
        )
        workers = list(self._coordinator.state.workers.values())
        registered = [worker for worker in workers if worker.entry is not None]
        accepting = {worker.worker for worker in workers if worker.is_available}
        usage_ratio = _compute_cpu_usage_ratio(registered)
        remaining = deadline - self._clock.monotonic()
        # The other workers may not come back before the time of the wave is over.
        may_take_last = (
            len(registered) <= 1 or remaining < DRAIN_GRACE_SECONDS + self._downtime
        )
        claimed: list[MachineId] = []
        while record.in_maintenance_count + len(claimed) < wave.max_concurrent:
            candidates = [
                load
                for load in loads.values()
                if step_drains.admits(load)
                and (may_take_last or accepting != {pool_machines[load.machine].worker})
            ]
            slow = [
                load for load in candidates if step_drains.is_urgent(load, remaining)
            ]
            is_urgent = (
                bool(slow)
                or is_wave_urgent(
                    len(waiting) - len(claimed),
                    wave.max_concurrent,
                    remaining,
                    self._downtime,
                )
                # One worker of the pool goes on.
                or is_wave_urgent(
                    len(loads), len(registered) - 1, remaining, self._downtime
                )
            )
            chosen = choose_machine(
                slow or candidates,
                usage_ratio,
                in_maintenance_count + len(claimed),
                len(registered),
                is_urgent,
            )
            if chosen is None:
                break
            claimed.append(chosen)
            load = loads.pop(chosen)
            accepting.discard(pool_machines[chosen].worker)
            step_drains.add(load)
            if load.long_running_count and not slow:
                # Their tasks move one after the other, while the machine is no use.
                break
        return claimed

    def _is_cordoned(self, machine: Machine) -> bool:
        worker = self._coordinator.state.workers.get(machine.worker)
        return worker is not None and worker.is_cordoned

    def _may_be_emptied(self, key: DrainKey, machine: Machine) -> bool:
        """Return whether a drain that was taken back would get further now."""
        return not self._blocked_drains.was_taken_back(
            key
        ) or self._evacuator.can_empty(machine.worker)

    def _measure_load(
        self, machine: Machine, absences: dict[StepKey, int]
    ) -> MachineLoad:
        """Return the load of a machine.

        Args:
            machine: Machine of the pool.
            absences: Absent tasks of the steps that have been counted; updated.
        """
        worker = self._coordinator.state.workers.get(machine.worker)
        if worker is None:
            return MachineLoad(machine.machine, 0.0, 0)
        long_running_count = 0
        tolerated_absences: dict[StepKey, int] = {}
        for run in worker.runs.values():
            job = self._coordinator.state.jobs.get(run.task.job)
            if job is None or not run.is_long_running:
                continue
            long_running_count += 1
            step = job.find_step(run.task)
            if step is not None and step.spec.tolerated_absences:
                key = StepKey(run.task[:3])
                tolerated_absences[key] = step.spec.tolerated_absences
                if key not in absences:
                    absences[key] = self._evacuator.count_absent(step)
        return MachineLoad(
            machine.machine,
            _compute_cpu_usage_ratio([worker]),
            long_running_count,
            tolerated_absences,
            absences,
        )


def _compute_cpu_usage_ratio(workers: list[WorkerView]) -> float:
    total = sum(worker.capacity.cpu for worker in workers)
    used = sum(worker.reserved.cpu for worker in workers)
    return used / total if total else 0.0
