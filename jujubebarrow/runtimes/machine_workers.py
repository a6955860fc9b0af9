"""Finds the workers that have ended by the lists of machines."""

from collections import OrderedDict
from collections.abc import Collection

from jujubebarrow.gateways.machine_controls import Machine, MachineState
from jujubebarrow.workloads.identifiers import MachineId, WorkerId

REMEMBERED_WORKERS_COUNT = 10_000
"""Most ended workers that are remembered, the latest ones."""


class MachineWorkers:
    """Compares the workers of the machines in one list with those of earlier lists.

    A worker is one life of a machine, and a machine has one worker at a time. A worker
    whose machine is listed with another one has ended, whoever has moved or maintained
    the machine and whether or not the worker has crashed.
    """

    def __init__(self) -> None:
        # Worker of each machine, and the time at which it was known.
        self._workers: dict[MachineId, tuple[WorkerId, float]] = {}
        self._present: set[WorkerId] = set()
        self._ended: OrderedDict[WorkerId, None] = OrderedDict()

    def is_listed(self, worker: WorkerId) -> bool:
        """Return whether the machine of a worker is known."""
        return worker in self._present

    def has_ended(self, worker: WorkerId) -> bool:
        """Return whether another worker is on the machine of a worker."""
        return worker in self._ended

    def observe(
        self, machines: Collection[Machine], sent_at: float, received_at: float
    ) -> None:
        """Compare a list with the earlier ones.

        Lists of several pools may overtake each other, so that an entry counts only if
        its list was requested after the last change of the machine was known.

        Args:
            machines: Entries of the list.
            sent_at: Time in seconds at which the list was requested.
            received_at: Time in seconds at which the list was received.
        """
        listed = {machine.worker for machine in machines}
        for machine in machines:
            if machine.state is not MachineState.UP or not machine.worker:
                continue
            former, known_at = self._workers.get(machine.machine, (None, 0.0))
            if machine.worker == former or machine.worker in self._ended:
                continue
            if former is not None:
                # The pages of a list may be of different moments.
                if sent_at < known_at or former in listed:
                    continue
                self._record_end(former)
            self._workers[machine.machine] = (machine.worker, received_at)
            self._present.add(machine.worker)

    def _record_end(self, worker: WorkerId) -> None:
        self._present.discard(worker)
        self._ended[worker] = None
        if len(self._ended) > REMEMBERED_WORKERS_COUNT:
            self._ended.popitem(last=False)
