"""Machines under emulated workers, and placement advice."""

from asyncio import get_running_loop, sleep
from typing import TYPE_CHECKING, Any

from jujubebarrow.gateways.advisors import Advisor
from jujubebarrow.gateways.machine_controls import (
    Machine,
    MachineAnswer,
    MachineControl,
    MachineState,
)
from jujubebarrow.identifiers import (
    PoolId,
    ZoneId,
)
from jujubebarrow.workloads.identifiers import MachineId, WorkerId

if TYPE_CHECKING:
    from jujubebarrow.tests.fakes.job_worlds import JobWorld

STANDBY = PoolId("off")


class FakeMachines(MachineControl):
    """Machines named as their workers; maintenance starts the worker again."""

    def __init__(self, world: "JobWorld"):
        self._world = world
        self.down: set[WorkerId] = set()
        self.most_down = 0
        self.orders: list[tuple[MachineId, int]] = []
        self.moves: list[tuple[MachineId, PoolId, PoolId]] = []
        self.tokens: dict[MachineId, int] = {}
        self.cut_by_moves = 0
        self.refused = 0

    async def list_machines(self) -> list[Machine]:
        await sleep(0.01)
        return [
            Machine(
                machine=MachineId(f"m-{name}"),
                pool=worker.pool,
                state=(
                    MachineState.MAINTENANCE if name in self.down else MachineState.UP
                ),
                zone=ZoneId("z"),
                labels=worker.labels,
                worker=name if self._world.is_registered(name) else WorkerId(""),
            )
            for name, worker in self._world.workers.items()
        ]

    async def move(self, machine: MachineId, pool: PoolId, token: int) -> MachineAnswer:
        await sleep(0.01)
        if token < self.tokens.get(machine, 0):
            self.refused += 1
            return MachineAnswer.FENCED
        self.tokens[machine] = token
        name = WorkerId(machine.removeprefix("m-"))
        worker = self._world.workers[name]
        if worker.pool == pool:
            return MachineAnswer.DONE
        self.moves.append((machine, worker.pool, pool))
        self.cut_by_moves += len(worker.running)
        worker.crash()
        worker.pool = pool
        self._world.remove_entry(name)
        get_running_loop().call_later(1.5, self._come_back, name)
        return MachineAnswer.DONE

    async def maintain(
        self, machine: MachineId, wave: int, token: int
    ) -> MachineAnswer:
        await sleep(0.01)
        if token < self.tokens.get(machine, 0):
            self.refused += 1
            return MachineAnswer.FENCED
        self.tokens[machine] = token
        name = WorkerId(machine.removeprefix("m-"))
        if (machine, wave) in self.orders:
            return MachineAnswer.DONE
        self.orders.append((machine, wave))
        self.down.add(name)
        self.most_down = max(self.most_down, len(self.down))
        self._world.workers[name].crash()
        self._world.remove_entry(name)
        get_running_loop().call_later(2.0, self._come_back, name)
        return MachineAnswer.DONE

    def _come_back(self, name: WorkerId) -> None:
        self.down.discard(name)
        self._world.workers[name].restart()
        if self._world.workers[name].pool != STANDBY:
            self._world.write_entry(name)


class FakeAdvisor(Advisor):
    """Grants a step on every worker but some, and never asks twice at once."""

    def __init__(self) -> None:
        self.refused: set[WorkerId] = set()
        self.calls = 0
        self.busy = 0
        self.most_busy = 0

    async def advise(
        self, step: Any, workers: list[WorkerId], timeout: float
    ) -> dict[WorkerId, str]:
        self.calls += 1
        self.busy += 1
        self.most_busy = max(self.most_busy, self.busy)
        await sleep(0.05)
        self.busy -= 1
        return {name: f"t-{name}" for name in workers if name not in self.refused}
