"""Follows the registrations of the workers."""

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.document_readers import DocumentReader
from jujubebarrow.runtimes.table_followers import TableFollower
from jujubebarrow.runtimes.worker_sources import WorkerListener, WorkerSource
from jujubebarrow.stores.rows import Row
from jujubebarrow.stores.stores import Store
from jujubebarrow.workloads.identifiers import WorkerId
from jujubebarrow.workloads.worker_reports import WorkerEntry

FEED_WAIT = 2.0
"""Seconds that the store may hold a question."""
FEED_SPACING = 0.25
"""Seconds between two questions; heartbeats would answer each one at once."""
RETURN_GRACE = 2.3
"""Seconds after an outage of the store in which registrations come back."""
OUTAGE = 1.5
"""Seconds without an answer of the store that count as an outage."""


class WorkerFollower(TableFollower, WorkerSource):
    """Keeps all registrations in the store.

    Args:
        store: Store.
        reader: Decodes registrations.
        clock: Time source.
        log: Log of decisions.
        metrics: Counters.
    """

    def __init__(
        self,
        store: Store,
        reader: DocumentReader,
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        table = reader.worker_table
        super().__init__(store, table, FEED_WAIT, FEED_SPACING, clock, log, metrics)
        self._reader = reader
        self._listeners: list[WorkerListener] = []
        self._missing: dict[WorkerId, float] = {}
        self._answered_at: float | None = None
        self._returned_at = 0.0
        self.entries: dict[WorkerId, WorkerEntry] = {}

    @property
    def is_needed(self) -> bool:
        """Whether this instance owns a pool."""
        return bool(self._listeners)

    def listen(self, listener: WorkerListener) -> None:
        """Tell a listener of all registrations and their changes."""
        self._listeners.append(listener)
        for entry in self.entries.values():
            listener.on_worker(entry)

    def unlisten(self, listener: WorkerListener) -> None:
        """Tell a listener nothing more."""
        self._listeners.remove(listener)

    def forget(self) -> None:
        """Drop what is known, as later changes will not be told."""
        self.entries.clear()
        self._missing.clear()

    async def reload(self) -> tuple[int, list[Row]]:
        """Read all registrations; those that are missing count as deleted."""
        found = await self._store.read(f"{self._table}//")
        present = {self._reader.worker_of(row) for row in found.rows}
        gone = [
            Row(key=f"{self._table}//{worker}", revision=found.revision)
            for worker in self.entries
            if worker not in present
        ]
        return found.revision, [*found.rows, *gone]

    async def apply(self, rows: list[Row], sent_at: float) -> None:
        """Take over changed registrations."""
        now = self._clock.monotonic()
        if self._answered_at is not None and now - self._answered_at > OUTAGE + (
            FEED_WAIT
        ):
            self._returned_at = now
        self._answered_at = now
        for row in rows:
            self._apply_row(row, now)
        self._expire(now)

    def _apply_row(self, row: Row, now: float) -> None:
        worker = self._reader.worker_of(row)
        entry = self._reader.read_worker(row) if row.value is not None else None
        if entry is None:
            if worker in self.entries:
                self._missing.setdefault(worker, now)
            return
        self._missing.pop(worker, None)
        self.entries[worker] = entry
        for listener in list(self._listeners):
            listener.on_worker(entry)

    def _expire(self, now: float) -> None:
        if now < self._returned_at + RETURN_GRACE:
            return
        for worker in list(self._missing):
            del self._missing[worker]
            del self.entries[worker]
            for listener in list(self._listeners):
                listener.on_worker_gone(worker)
