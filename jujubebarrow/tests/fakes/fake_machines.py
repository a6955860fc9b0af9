"""Emulated machine service and placement advice service."""

from asyncio import get_running_loop, sleep
from typing import TYPE_CHECKING, Any

from jujubebarrow.gateways.advisors import Advisor
from jujubebarrow.gateways.machine_controls import (
    Machine,
    MachineControl,
    MachineControlError,
    MachineOrderOutcome,
    MachineState,
)
from jujubebarrow.identifiers import (
    PoolId,
    ZoneId,
)
from jujubebarrow.workloads.identifiers import MachineId, WorkerId

if TYPE_CHECKING:
    from jujubebarrow.tests.fakes.job_clusters import JobCluster

STANDBY = PoolId("off")
MOVE_SECONDS = 1.5
MAINTENANCE_SECONDS = 2.0
REGISTRATION_SECONDS = 4.3
"""Time for which the registration of a worker that has ended stays."""


class FakeMachines(MachineControl):
    """Machines named after their first workers.

    Maintenance and moves restart the worker unless workers are renamed. Orders with a
    lower token than an earlier order for the machine are fenced.

    Attributes:
        other_machines: Machines in the list that run none of the cluster's workers.
        renames_workers: Whether a machine that is moved or maintained gets a worker
            with another id, while the registration of the former one stays for some
            time.
        ended: Workers whose machine has got a worker with another id.
        loses_move_answers: Whether moves are executed without an answer.
        loses_move_orders: Whether orders for moves get no answer and are not executed.
        is_unavailable: Whether lists of the machines get no answer.
    """

    def __init__(self, cluster: "JobCluster"):
        self._cluster = cluster
        self.down: set[WorkerId] = set()
        self.max_down_count = 0
        self.maintenance_orders: list[tuple[MachineId, int]] = []
        self.moves: list[tuple[MachineId, PoolId, PoolId]] = []
        self.tokens: dict[MachineId, int] = {}
        self.killed_run_count = 0
        self.rejected_order_count = 0
        self.other_machines: list[Machine] = []
        self.renames_workers = False
        self.ended: set[WorkerId] = set()
        self.loses_move_answers = False
        self.loses_move_orders = False
        self.is_unavailable = False
        self._targets: dict[MachineId, PoolId] = {}

    async def list_machines(self) -> list[Machine]:
        await sleep(0.01)
        if self.is_unavailable:
            raise MachineControlError("no answer")
        return self.other_machines + [
            self._describe(machine, name)
            for machine, name in self._find_present_workers().items()
        ]

    def _describe(self, machine: MachineId, name: WorkerId) -> Machine:
        worker = self._cluster.workers[name]
        is_standby = worker.pool == STANDBY
        state = MachineState.UP
        if name in self.down:
            state = MachineState.MAINTENANCE
        elif machine in self._targets:
            state = MachineState.MOVING
        elif not worker.is_up and not is_standby:
            state = MachineState.DOWN
        is_present = state is MachineState.UP and (
            not is_standby or self._cluster.is_registered(name)
        )
        return Machine(
            machine=machine,
            pool=self._targets.get(machine, worker.pool),
            state=state,
            zone=ZoneId("z"),
            labels=worker.labels,
            worker=name if is_present else WorkerId(""),
        )

    def _find_present_workers(self) -> dict[MachineId, WorkerId]:
        """Return the last worker of each machine."""
        return {
            MachineId(f"m-{name.partition('.')[0]}"): name
            for name in self._cluster.workers
        }

    async def move(
        self, machine: MachineId, pool: PoolId, token: int
    ) -> MachineOrderOutcome:
        await sleep(0.01)
        if self.loses_move_orders:
            raise MachineControlError("no answer")
        if token < self.tokens.get(machine, 0):
            self.rejected_order_count += 1
            return MachineOrderOutcome.FENCED
        self.tokens[machine] = token
        name = self._find_present_workers()[machine]
        worker = self._cluster.workers[name]
        if self._targets.get(machine, worker.pool) == pool:
            return MachineOrderOutcome.DONE
        if machine in self._targets:
            return MachineOrderOutcome.BUSY
        self.moves.append((machine, worker.pool, pool))
        self.killed_run_count += len(worker.running)
        worker.crash()
        loop = get_running_loop()
        if self.renames_workers:
            self._targets[machine] = pool
            self.ended.add(name)
            loop.call_later(REGISTRATION_SECONDS, self._cluster.unregister_worker, name)
            loop.call_later(MOVE_SECONDS, self._join, machine, name)
        else:
            worker.pool = pool
            self._cluster.unregister_worker(name)
            loop.call_later(MOVE_SECONDS, self._restart, name)
        if self.loses_move_answers:
            raise MachineControlError("no answer")
        return MachineOrderOutcome.DONE

    def replace_worker(self, name: WorkerId) -> None:
        """Let a worker crash and its machine come back with another one."""
        [machine] = [
            machine
            for machine, present in self._find_present_workers().items()
            if present == name
        ]
        worker = self._cluster.workers[name]
        worker.crash()
        self._targets[machine] = worker.pool
        loop = get_running_loop()
        loop.call_later(REGISTRATION_SECONDS, self._cluster.unregister_worker, name)
        loop.call_later(MOVE_SECONDS, self._join, machine, name)

    def _join(self, machine: MachineId, former: WorkerId) -> None:
        """Let another worker join the pool that a machine was moved to."""
        base, _, number = former.partition(".")
        name = WorkerId(f"{base}.{int(number or 0) + 1}")
        pool = self._targets.pop(machine)
        self._cluster.add_worker(name, pool)
        if pool == STANDBY:
            self._cluster.workers[name].crash()
            self._cluster.unregister_worker(name)

    async def maintain(
        self, machine: MachineId, wave: int, token: int
    ) -> MachineOrderOutcome:
        await sleep(0.01)
        if token < self.tokens.get(machine, 0):
            self.rejected_order_count += 1
            return MachineOrderOutcome.FENCED
        self.tokens[machine] = token
        if machine in self._targets:
            return MachineOrderOutcome.BUSY
        name = self._find_present_workers()[machine]
        if (machine, wave) in self.maintenance_orders:
            return MachineOrderOutcome.DONE
        self.maintenance_orders.append((machine, wave))
        self.down.add(name)
        self.max_down_count = max(self.max_down_count, len(self.down))
        worker = self._cluster.workers[name]
        worker.crash()
        loop = get_running_loop()
        if self.renames_workers:
            loop.call_later(REGISTRATION_SECONDS, self._cluster.unregister_worker, name)
            loop.call_later(MAINTENANCE_SECONDS, self._return, machine, name)
        else:
            self._cluster.unregister_worker(name)
            loop.call_later(MAINTENANCE_SECONDS, self._restart, name)
        return MachineOrderOutcome.DONE

    def _return(self, machine: MachineId, former: WorkerId) -> None:
        """Let another worker join the pool after the maintenance of a machine."""
        self.down.discard(former)
        self._targets[machine] = self._cluster.workers[former].pool
        self._join(machine, former)

    def _restart(self, name: WorkerId) -> None:
        self.down.discard(name)
        self._cluster.workers[name].restart()
        if self._cluster.workers[name].pool != STANDBY:
            self._cluster.register_worker(name)


class FakeAdvisor(Advisor):
    """Grants a step on all workers but the denied ones; counts concurrent calls."""

    def __init__(self) -> None:
        self.denied_workers: set[WorkerId] = set()
        self.call_count = 0
        self.active_call_count = 0
        self.max_active_call_count = 0

    async def advise(
        self, step: Any, workers: list[WorkerId], timeout: float
    ) -> dict[WorkerId, str]:
        self.call_count += 1
        self.active_call_count += 1
        self.max_active_call_count = max(
            self.max_active_call_count, self.active_call_count
        )
        await sleep(0.05)
        self.active_call_count -= 1
        return {
            name: f"t-{name}" for name in workers if name not in self.denied_workers
        }
