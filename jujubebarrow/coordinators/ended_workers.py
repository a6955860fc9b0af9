"""Workers that have ended for good."""

from collections import OrderedDict

from jujubebarrow.workloads.identifiers import WorkerId
from jujubebarrow.workloads.worker_reports import WorkerEntry

REMEMBERED_WORKERS_COUNT = 10_000
"""Most ended workers that are remembered, the latest ones."""


class EndedWorkers:
    """Workers whose machine has been taken from them, so that they execute no order.

    Their registrations stay for some time, and so do the records of starts that they
    may execute late.
    """

    def __init__(self) -> None:
        # Start of each worker's last known incarnation in Unix milliseconds.
        self._starts_ms: OrderedDict[WorkerId, int] = OrderedDict()

    def __contains__(self, worker: WorkerId) -> bool:
        return worker in self._starts_ms

    def add(self, worker: WorkerId, started_at_ms: int) -> None:
        """Add a worker.

        Args:
            worker: Id of the worker.
            started_at_ms: Unix time in milliseconds at which its last known incarnation
                started.
        """
        self._starts_ms[worker] = started_at_ms
        if len(self._starts_ms) > REMEMBERED_WORKERS_COUNT:
            self._starts_ms.popitem(last=False)

    def is_outdated(self, entry: WorkerEntry) -> bool:
        """Return whether a registration is that of a worker that has ended.

        A worker that has started again under its id has not ended.
        """
        start_ms = self._starts_ms.get(entry.worker)
        if start_ms is None:
            return False
        if entry.started_at_ms <= start_ms:
            return True
        del self._starts_ms[entry.worker]
        return False
