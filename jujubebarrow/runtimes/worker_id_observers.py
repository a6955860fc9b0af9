"""Observes whether workers keep their ids when they start again."""

from collections import OrderedDict
from collections.abc import Iterable

from jujubebarrow.gateways.machine_controls import Machine, MachineState
from jujubebarrow.identifiers import PoolId
from jujubebarrow.workloads.identifiers import MachineId, WorkerId
from jujubebarrow.workloads.worker_reports import WorkerEntry

REMEMBERED_WORKERS_COUNT = 10_000
"""Most workers whose last start is remembered, those registered last."""


class WorkerIdObserver:
    """Compares the workers of machines before and after moves and restarts.

    A late order names the worker that it was sent to. The machine's next worker
    executes it only if that worker has the same id. Until a move has been seen, and for
    good after any worker has kept its id, a worker may keep it in a move.
    """

    def __init__(self) -> None:
        self._pools: dict[MachineId, tuple[PoolId, WorkerId]] = {}
        # Worker and target pool of each move whose result has not been seen.
        self._moves: dict[MachineId, tuple[WorkerId, PoolId]] = {}
        self._starts_ms: OrderedDict[WorkerId, int] = OrderedDict()
        self._has_changed = False
        self._has_stayed = False

    @property
    def is_decided(self) -> bool:
        """Whether a worker's id has been compared with that before a move."""
        return self._has_changed or self._has_stayed

    @property
    def may_keep_id(self) -> bool:
        """Whether a worker may keep its id when its machine is moved."""
        return self._has_stayed or not self._has_changed

    def record_move(self, machine: MachineId, worker: WorkerId, pool: PoolId) -> None:
        """Record the claim of a move to a pool.

        Args:
            machine: Machine that is moved.
            worker: Worker of the machine that has just responded; empty if unknown.
            pool: Pool to which the machine is moved.
        """
        if worker:
            self._moves[machine] = (worker, pool)
        else:
            self._moves.pop(machine, None)

    def observe_registration(self, entry: WorkerEntry) -> None:
        """Compare the start of a registered worker with the last one of that id."""
        start_ms = self._starts_ms.pop(entry.worker, entry.started_at_ms)
        if start_ms and entry.started_at_ms > start_ms:
            self._has_stayed = True
        self._starts_ms[entry.worker] = entry.started_at_ms
        if len(self._starts_ms) > REMEMBERED_WORKERS_COUNT:
            self._starts_ms.popitem(last=False)

    def observe(self, machines: Iterable[Machine]) -> None:
        """Compare a list of machines with those before.

        The worker of an earlier list may have started again under another id before the
        move. It counts only as a worker that has kept its id.
        """
        for machine in machines:
            if machine.state is not MachineState.UP or not machine.worker:
                continue
            pool, worker = self._pools.get(
                machine.machine, (machine.pool, machine.worker)
            )
            if pool != machine.pool:
                moved, target = self._moves.pop(machine.machine, ("", ""))
                if machine.worker in (worker, moved):
                    self._has_stayed = True
                elif machine.pool == target:
                    self._has_changed = True
            elif machine.worker != worker:
                # The worker has been replaced since the claim.
                self._moves.pop(machine.machine, None)
            self._pools[machine.machine] = (machine.pool, machine.worker)
