"""Workers that have ended."""

from collections import OrderedDict

from jujubebarrow.workloads.identifiers import WorkerId
from jujubebarrow.workloads.worker_reports import WorkerEntry

REMEMBERED_WORKERS_COUNT = 10_000
"""Most ended workers that are remembered, the latest ones."""


class EndedWorkers:
    """Workers that execute nothing any more, as their machines have other workers.

    Their registrations stay for some time, and so do the records of starts that they
    might have executed late.
    """

    def __init__(self) -> None:
        # Start of each worker's last known incarnation in Unix milliseconds; None if
        # that is not known.
        self._starts_ms: OrderedDict[WorkerId, int | None] = OrderedDict()

    def __contains__(self, worker: WorkerId) -> bool:
        return worker in self._starts_ms

    def add(self, worker: WorkerId, started_at_ms: int | None) -> None:
        """Add a worker.

        Args:
            worker: Id of the worker.
            started_at_ms: Unix time in milliseconds at which its last known incarnation
                started; None if that is not known.
        """
        self._starts_ms[worker] = started_at_ms
        if len(self._starts_ms) > REMEMBERED_WORKERS_COUNT:
            self._starts_ms.popitem(last=False)

    def observe_registration(self, entry: WorkerEntry) -> None:
        """Remove a worker that has started again under its id.

        The first registration of a worker whose start is not known may be the one that
        it has left behind.
        """
        if entry.worker not in self._starts_ms:
            return
        start_ms = self._starts_ms[entry.worker]
        if start_ms is None:
            self._starts_ms[entry.worker] = entry.started_at_ms
        elif entry.started_at_ms > start_ms:
            del self._starts_ms[entry.worker]
