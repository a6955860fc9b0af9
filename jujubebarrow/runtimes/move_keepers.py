"""Lends a pool's machines to pools that are short of them."""

from asyncio import sleep
from collections.abc import Callable

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.coordinators.worker_ledgers import WorkerLedger
from jujubebarrow.errors.exceptions import StoreError
from jujubebarrow.gateways.machine_controls import (
    Machine,
    MachineAnswer,
    MachineControl,
    MachineControlError,
    MachineState,
)
from jujubebarrow.identifiers import InstanceId, PoolId
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.pools.pool_loads import PoolLoad
from jujubebarrow.pools.surplus_planners import plan_moves
from jujubebarrow.runtimes.load_boards import LoadBoard
from jujubebarrow.runtimes.owner_hooks import OwnerHooks
from jujubebarrow.workloads.identifiers import MachineId, WorkerId

PERIOD = 0.25
"""Seconds between two looks; a turn of the demand lasts some seconds."""
LIST_AGE = 2.0
"""Seconds for which a list of machines serves."""
DRAIN_PATIENCE = 2.0
"""Seconds after which a machine that still has tasks is not lent after all; nine in
ten tasks end within that."""
TOLD_PERIOD = 2.0
"""Least seconds between two lines on a pool that is short."""


class MoveKeeper:
    """Moves machines from this pool.

    Args:
        instance: This instance.
        coordinator: Decisions on the pool.
        board: Loads of all pools.
        is_standby: Whether the pool's machines are off.
        machines: Machine service.
        is_busy: Returns whether a machine is being maintained.
        hooks: What the owner does on changes.
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
        board: LoadBoard,
        is_standby: bool,
        machines: MachineControl,
        is_busy: Callable[[MachineId], bool],
        hooks: OwnerHooks,
        machine_lease: float,
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        self._instance = instance
        self._coordinator = coordinator
        self._pool = coordinator.state.pool
        self._board = board
        self._is_standby = is_standby
        self._machines = machines
        self._is_busy = is_busy
        self._hooks = hooks
        self._machine_lease = machine_lease
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._told: PoolLoad | None = None
        self._shortage_told_at = float("-inf")
        self._listed: dict[WorkerId, Machine] = {}
        self._spare: list[Machine] = []
        self._listed_at = float("-inf")
        self._leaving: dict[WorkerId, tuple[PoolId, float]] = {}
        self._unmovable: set[MachineId] = set()

    async def run(self) -> None:
        """Lend machines until cancelled."""
        while self._machines.is_available:
            try:
                await self._step()
            except (StoreError, MachineControlError) as error:
                self._metrics.count("move_retry", type(error).__name__)
            await sleep(PERIOD)

    async def _step(self) -> None:
        if self._is_standby:
            await self._refresh_list()
        load = self._describe()
        if self._told is None or load.differs(self._told):
            await self._board.tell_load(load)
            self._told = load
        await self._board.refresh()
        loads = dict(self._board.loads)
        loads[self._pool] = load
        under_way = self._board.count_under_way()
        moves = plan_moves(loads, under_way)
        targets = [target for source, target in moves if source == self._pool]
        self._log_shortage(load, moves, under_way.get(self._pool, 0))
        if self._is_standby:
            await self._send_spare(targets)
        else:
            await self._send_workers(targets)

    def _log_shortage(
        self, load: PoolLoad, moves: list[tuple[PoolId, PoolId]], coming: int
    ) -> None:
        """Tell why machines are awaited, or that nobody lends any."""
        now = self._clock.monotonic()
        if load.demand <= load.capacity or now - self._shortage_told_at < TOLD_PERIOD:
            return
        self._shortage_told_at = now
        self._log.write(
            "pool_short",
            pool=self._pool,
            demand=load.demand,
            backlog=load.backlog,
            capacity=load.capacity,
            machines=load.machines,
            coming=coming,
            lenders=[source for source, target in moves if target == self._pool],
        )

    def _describe(self) -> PoolLoad:
        if self._is_standby:
            return PoolLoad(
                pool=self._pool,
                demand=0,
                capacity=0,
                machines=0,
                movable=len(self._spare),
                is_standby=True,
            )
        workers = [worker for worker in self._workers() if not worker.is_cordoned]
        return PoolLoad(
            pool=self._pool,
            backlog=self._coordinator.demand.count_backlog(),
            demand=self._coordinator.demand.count_demand(self._clock.monotonic()),
            capacity=sum(worker.capacity.cpu for worker in workers),
            machines=len(workers),
            movable=len(self._find_movable()),
        )

    def _workers(self) -> list[WorkerLedger]:
        now = self._clock.monotonic()
        workers = self._coordinator.state.workers.values()
        return [
            worker
            for worker in workers
            if worker.takes_tasks(now) or worker.worker in self._leaving
        ]

    def _find_movable(self) -> list[WorkerLedger]:
        """Return workers that could leave, the emptiest first."""
        workers = [
            worker
            for worker in self._workers()
            if not worker.is_cordoned and not worker.has_long_running
        ]
        return sorted(workers, key=lambda worker: worker.reserved.cpu)

    async def _refresh_list(self) -> None:
        now = self._clock.monotonic()
        if now - self._listed_at < LIST_AGE:
            return
        listed = await self._machines.list_machines()
        self._listed_at = now
        self._listed = {machine.worker: machine for machine in listed if machine.worker}
        self._spare = [
            machine
            for machine in listed
            if machine.pool == self._pool
            and machine.state is MachineState.UP
            and machine.machine not in self._unmovable
            and not self._is_busy(machine.machine)
            and self._board.may_order(
                machine.machine, self._instance, self._machine_lease
            )
        ]

    async def _send_spare(self, targets: list[PoolId]) -> None:
        for target in targets:
            if not self._spare:
                return
            machine = self._spare.pop()
            if not self._is_busy(machine.machine):
                await self._move(machine, target)

    async def _send_workers(self, targets: list[PoolId]) -> None:
        now = self._clock.monotonic()
        wanted = list(targets)
        for target, _ in self._leaving.values():
            if target in wanted:
                wanted.remove(target)
        for target in wanted:
            movable = self._find_movable()
            if not movable:
                break
            movable[0].is_cordoned = True
            self._leaving[movable[0].worker] = (target, now)
        for name in list(self._leaving):
            await self._finish_leaving(name, now)

    async def _finish_leaving(self, name: WorkerId, now: float) -> None:
        target, since = self._leaving[name]
        worker = self._coordinator.state.workers.get(name)
        if worker is None or worker.entry is None:
            del self._leaving[name]
            return
        if worker.runs:
            if now - since > DRAIN_PATIENCE:
                self._keep(worker)
            return
        await self._refresh_list()
        machine = self._listed.get(name)
        if machine is None or not self._is_free(machine):
            if now - since > DRAIN_PATIENCE:
                self._keep(worker)
            return
        if await self._move(machine, target):
            self._leaving.pop(name, None)
        else:
            self._keep(worker)

    def _is_free(self, machine: Machine) -> bool:
        return (
            machine.machine not in self._unmovable
            and not self._is_busy(machine.machine)
            and self._board.may_order(
                machine.machine, self._instance, self._machine_lease
            )
        )

    def _keep(self, worker: WorkerLedger) -> None:
        worker.is_cordoned = False
        self._leaving.pop(worker.worker, None)
        self._metrics.count("move_given_up")
        self._hooks.on_change()

    async def _move(self, machine: Machine, target: PoolId) -> bool:
        token = await self._board.claim_move(machine.machine, target, self._instance)
        answer = await self._machines.move(machine.machine, target, token)
        self._metrics.count("move", answer.value)
        self._log.write(
            "machine_moved",
            machine=machine.machine,
            worker=machine.worker,
            source=self._pool,
            target=target,
            token=token,
            answer=answer.value,
        )
        if answer is MachineAnswer.UNKNOWN_MACHINE:
            self._unmovable.add(machine.machine)
        return answer is MachineAnswer.DONE
