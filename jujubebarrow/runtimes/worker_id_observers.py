"""Observes whether a worker keeps its id when its machine is moved."""

from collections.abc import Iterable

from jujubebarrow.gateways.machine_controls import Machine, MachineState
from jujubebarrow.identifiers import PoolId
from jujubebarrow.workloads.identifiers import MachineId, WorkerId


class WorkerIdObserver:
    """Compares the lists of machines before and after moves.

    A late order names the worker that it was sent to. The machine's next worker
    executes it only if that worker has the same id. Until a move has been seen, and for
    good after a worker has kept its id, any worker may keep it.
    """

    def __init__(self) -> None:
        self._workers: dict[MachineId, tuple[PoolId, WorkerId]] = {}
        self._has_changed = False
        self._has_stayed = False

    @property
    def is_decided(self) -> bool:
        """Whether a move has been seen."""
        return self._has_changed or self._has_stayed

    @property
    def may_keep_id(self) -> bool:
        """Whether a worker may keep its id when its machine is moved."""
        return self._has_stayed or not self._has_changed

    def observe(self, machines: Iterable[Machine]) -> None:
        """Compare a list of machines with those before."""
        for machine in machines:
            if machine.state is not MachineState.UP or not machine.worker:
                continue
            pool, worker = self._workers.get(
                machine.machine, (machine.pool, machine.worker)
            )
            if pool != machine.pool:
                self._has_stayed = self._has_stayed or worker == machine.worker
                self._has_changed = self._has_changed or worker != machine.worker
            self._workers[machine.machine] = (machine.pool, machine.worker)
