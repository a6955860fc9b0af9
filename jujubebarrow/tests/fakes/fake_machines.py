"""Emulated machine service and placement advice service."""

from asyncio import get_running_loop, sleep
from typing import TYPE_CHECKING, Any

from jujubebarrow.gateways.advisors import Advisor
from jujubebarrow.gateways.machine_controls import (
    Machine,
    MachineControl,
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


class FakeMachines(MachineControl):
    """Machines named after their workers; maintenance and moves restart the worker.

    Orders with a lower token than an earlier order for the machine are fenced.

    Attributes:
        other_machines: Machines in the list that run none of the cluster's workers.
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

    async def list_machines(self) -> list[Machine]:
        await sleep(0.01)
        return self.other_machines + [
            Machine(
                machine=MachineId(f"m-{name}"),
                pool=worker.pool,
                state=(
                    MachineState.MAINTENANCE if name in self.down else MachineState.UP
                ),
                zone=ZoneId("z"),
                labels=worker.labels,
                worker=name if self._cluster.is_registered(name) else WorkerId(""),
            )
            for name, worker in self._cluster.workers.items()
        ]

    async def move(
        self, machine: MachineId, pool: PoolId, token: int
    ) -> MachineOrderOutcome:
        await sleep(0.01)
        if token < self.tokens.get(machine, 0):
            self.rejected_order_count += 1
            return MachineOrderOutcome.FENCED
        self.tokens[machine] = token
        name = WorkerId(machine.removeprefix("m-"))
        worker = self._cluster.workers[name]
        if worker.pool == pool:
            return MachineOrderOutcome.DONE
        self.moves.append((machine, worker.pool, pool))
        self.killed_run_count += len(worker.running)
        worker.crash()
        worker.pool = pool
        self._cluster.unregister_worker(name)
        get_running_loop().call_later(1.5, self._restart, name)
        return MachineOrderOutcome.DONE

    async def maintain(
        self, machine: MachineId, wave: int, token: int
    ) -> MachineOrderOutcome:
        await sleep(0.01)
        if token < self.tokens.get(machine, 0):
            self.rejected_order_count += 1
            return MachineOrderOutcome.FENCED
        self.tokens[machine] = token
        name = WorkerId(machine.removeprefix("m-"))
        if (machine, wave) in self.maintenance_orders:
            return MachineOrderOutcome.DONE
        self.maintenance_orders.append((machine, wave))
        self.down.add(name)
        self.max_down_count = max(self.max_down_count, len(self.down))
        self._cluster.workers[name].crash()
        self._cluster.unregister_worker(name)
        get_running_loop().call_later(2.0, self._restart, name)
        return MachineOrderOutcome.DONE

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
