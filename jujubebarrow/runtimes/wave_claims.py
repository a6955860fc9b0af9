"""Choice of the machines of one pool that a maintenance wave drains next."""

from collections.abc import Callable
from dataclasses import dataclass

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.evacuations import Evacuator
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.coordinators.worker_views import WorkerView
from jujubebarrow.fleets.wave_requests import WaveRequest
from jujubebarrow.gateways.machine_controls import Machine, MachineState
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.maintenance.blocked_drains import BlockedDrains, DrainKey
from jujubebarrow.maintenance.step_drains import StepDrains
from jujubebarrow.maintenance.wave_choices import (
    MachineLoad,
    choose_machine,
    is_wave_urgent,
)
from jujubebarrow.maintenance.wave_records import (
    MachineMaintenanceState,
    WaveRecord,
)
from jujubebarrow.placements.drain_limits import DrainLimit
from jujubebarrow.workloads.identifiers import MachineId, StepKey


@dataclass(frozen=True, slots=True)
class PoolSurvey:
    """Workers of a pool while machines are chosen.

    Attributes:
        members: Registered workers.
        possible: Workers that accept tasks, or may accept them later.
        accepting: Workers that accept tasks and stay.
        returning: Labels of each machine whose worker is not registered.
    """

    members: list[WorkerView]
    possible: list[WorkerView]
    accepting: list[WorkerView]
    returning: list[tuple[str, ...]]

    def can_spare(self, worker: WorkerView, limit: DrainLimit) -> bool:
        """Return whether the pool goes on without a worker."""
        return limit.can_spare(worker, self.accepting, self.possible, self.returning)

    def remove(self, worker: WorkerView) -> None:
        """Note that a worker is to accept no more tasks."""
        if worker in self.accepting:
            self.accepting.remove(worker)


class WaveClaims:
    """Chooses machines to drain, as many as the wave and the pool allow.

    Args:
        coordinator: Makes the scheduling decisions of the pool.
        evacuator: Tells which tasks of the pool's workers may be moved.
        blocked_drains: Drains that have been taken back.
        downtime: Usual duration of a machine's maintenance in seconds.
        can_order: Returns whether a machine may be ordered by this instance now.
        is_under_maintenance: Returns whether a machine is claimed for any wave.
        clock: Time source.
        log: Decision log.
    """

    def __init__(
        self,
        coordinator: PoolCoordinator,
        evacuator: Evacuator,
        blocked_drains: BlockedDrains,
        downtime: float,
        can_order: Callable[[MachineId], bool],
        is_under_maintenance: Callable[[MachineId], bool],
        clock: Clock,
        log: DecisionLog,
    ):
        self._coordinator = coordinator
        self._evacuator = evacuator
        self._blocked_drains = blocked_drains
        self._downtime = downtime
        self._can_order = can_order
        self._is_under_maintenance = is_under_maintenance
        self._clock = clock
        self._log = log
        self._waits: dict[int, dict[str, int]] = {}
        self._limit = DrainLimit()

    def choose(
        self,
        wave: WaveRequest,
        deadline: float,
        record: WaveRecord,
        pool_machines: dict[MachineId, Machine],
        listed: list[Machine],
    ) -> list[MachineId]:
        """Return the machines to drain next.

        Args:
            wave: Request that the machines belong to.
            deadline: Monotonic time in seconds by which the maintenance of every
                machine must have begun.
            record: State of each machine of the wave.
            pool_machines: Machines of the wave that belong to the pool.
            listed: All machines.
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
        }
        blocked = {
            name
            for name in loads
            if not self._may_be_emptied((wave.wave, name), pool_machines[name])
        }
        for name in blocked:
            del loads[name]
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
        remaining = deadline - self._clock.monotonic()
        pool = self._survey_pool(listed, remaining < 0)
        usage_ratio = _compute_cpu_usage_ratio(pool.members)
        if loads:
            self._record_steps()
        waiting_workers = [
            worker
            for name in loads
            if (worker := self._find_worker(pool_machines[name])) is not None
        ]
        urgent_workers = self._limit.find_urgent(
            waiting_workers,
            pool.members,
            lambda count, spare: is_wave_urgent(
                count, spare, remaining, self._downtime
            ),
        )
        deferred: set[MachineId] = set()
        claimed: list[MachineId] = []
        while record.in_maintenance_count + len(claimed) < wave.max_concurrent:
            candidates = [
                load
                for load in loads.values()
                if load.machine not in deferred and step_drains.admits(load)
            ]
            slow = [
                load for load in candidates if step_drains.is_urgent(load, remaining)
            ]
            urgent = slow or [
                load
                for load in candidates
                if pool_machines[load.machine].worker in urgent_workers
            ]
            is_urgent = bool(urgent) or is_wave_urgent(
                len(waiting) - len(claimed),
                wave.max_concurrent,
                remaining,
                self._downtime,
            )
            chosen = choose_machine(
                urgent or candidates,
                usage_ratio,
                in_maintenance_count + len(claimed),
                len(pool.members),
                is_urgent,
            )
            if chosen is None:
                break
            worker = self._find_worker(pool_machines[chosen])
            if worker is not None:
                if not pool.can_spare(worker, self._limit):
                    deferred.add(chosen)
                    continue
                pool.remove(worker)
            claimed.append(chosen)
            load = loads.pop(chosen)
            step_drains.add(load)
            if load.long_running_count and not slow:
                # Their tasks move one after the other, while the machine is no use.
                break
        self._log_waits(
            wave.wave,
            {
                "blocked": len(blocked),
                "absences": sum(
                    not step_drains.admits(load) for load in loads.values()
                ),
                "needed": len(deferred),
            },
        )
        return claimed

    def _log_waits(self, wave: int, counts: dict[str, int]) -> None:
        """Log how many machines wait for what, whenever that changes."""
        if counts != self._waits.get(wave, dict.fromkeys(counts, 0)):
            self._waits[wave] = counts
            self._log.write("machines_wait", wave=wave, **counts)

    def _survey_pool(self, listed: list[Machine], is_late: bool) -> PoolSurvey:
        """Return the pool's workers, and those that may come back.

        Args:
            listed: All machines.
            is_late: Whether the time of the wave is over, and no worker that is lost
                is waited for.
        """
        workers = self._coordinator.state.workers
        members = [worker for worker in workers.values() if worker.entry is not None]
        names = {worker.worker for worker in members}
        pool = self._coordinator.state.pool
        machines = [machine for machine in listed if machine.pool == pool]
        claimed = {
            machine.worker
            for machine in machines
            if self._is_under_maintenance(machine.machine)
        }
        return PoolSurvey(
            members,
            possible=[
                worker
                for worker in members
                if not is_late or worker.is_available or worker.is_cordoned
            ],
            # The new owner of a pool cordons the drained workers after some seconds.
            accepting=[
                worker
                for worker in members
                if worker.is_available and worker.worker not in claimed
            ],
            returning=[
                machine.labels
                for machine in machines
                if machine.worker not in names
                and machine.state is not MachineState.DOWN
                and not (is_late and machine.state is MachineState.UP)
            ],
        )

    def _record_steps(self) -> None:
        self._limit.record_steps(
            (
                step.spec
                for job in self._coordinator.state.jobs.values()
                if not job.phase.is_final
                for _, _, step in job.steps()
                if not step.is_done
            ),
            self._clock.monotonic(),
        )

    def _find_worker(self, machine: Machine) -> WorkerView | None:
        return self._coordinator.state.workers.get(machine.worker)

    def _is_cordoned(self, machine: Machine) -> bool:
        worker = self._find_worker(machine)
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
