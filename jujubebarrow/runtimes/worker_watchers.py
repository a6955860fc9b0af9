"""Watches the registrations of the workers in the store."""

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.document_readers import DocumentReader
from jujubebarrow.runtimes.table_watchers import TableWatcher
from jujubebarrow.runtimes.worker_sources import WorkerListener, WorkerSource
from jujubebarrow.stores.row_keys import RowKey
from jujubebarrow.stores.rows import Row
from jujubebarrow.stores.stores import Store
from jujubebarrow.workloads.identifiers import WorkerId
from jujubebarrow.workloads.worker_reports import WorkerEntry

FEED_WAIT_SECONDS = 2.0
"""Longest time that the store may delay the response to a request for changes."""
FEED_SPACING_SECONDS = 0.25
"""Minimum time between two requests; without a minimum, the workers' heartbeats would
make the store respond to each request at once."""
REREGISTRATION_GRACE_SECONDS = 2.3
"""Time after a store outage in which deleted registrations are kept, because workers
need this time to register again."""
OUTAGE_SECONDS = 1.5
"""Time without a response of the store, beyond FEED_WAIT_SECONDS, that counts as an
outage."""


class WorkerWatcher(TableWatcher, WorkerSource):
    """Keeps a copy of all registrations in the store.

    Args:
        store: Store shared by all instances.
        reader: Decodes the rows of registrations.
        clock: Time source.
        log: Decision log.
        metrics: Registry of the counters.

    Attributes:
        entries: Registration of each worker.
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
        super().__init__(
            store, table, FEED_WAIT_SECONDS, FEED_SPACING_SECONDS, clock, log, metrics
        )
        self._reader = reader
        self._listeners: list[WorkerListener] = []
        self._deleted_at: dict[WorkerId, float] = {}
        self._last_response_at: float | None = None
        self._outage_ended_at = 0.0
        self.entries: dict[WorkerId, WorkerEntry] = {}

    @property
    def is_needed(self) -> bool:
        """Whether the owner of any pool is registered as a listener."""
        return bool(self._listeners)

    def add_listener(self, listener: WorkerListener) -> None:
        """Register a listener and report all present registrations to it."""
        self._listeners.append(listener)
        self.wake()
        for entry in self.entries.values():
            listener.on_worker_changed(entry)

    def remove_listener(self, listener: WorkerListener) -> None:
        """Stop notifying a listener."""
        self._listeners.remove(listener)

    def clear(self) -> None:
        """Clear all registrations, because later changes will not be reported."""
        self.entries.clear()
        self._deleted_at.clear()

    async def reload(self) -> tuple[int, list[Row]]:
        """Read all registrations; known ones that are absent count as deleted."""
        found = await self._store.read(f"{self._table}//")
        present = {self._reader.parse_worker_id(row) for row in found.rows}
        deleted_rows = [
            Row(key=f"{self._table}//{worker}", revision=found.revision)
            for worker in self.entries
            if worker not in present
        ]
        return found.revision, [*found.rows, *deleted_rows]

    async def apply(self, rows: list[Row], sent_at: float) -> None:
        """Apply changed registrations."""
        now = self._clock.monotonic()
        if (
            self._last_response_at is not None
            and now - self._last_response_at > OUTAGE_SECONDS + FEED_WAIT_SECONDS
        ):
            self._outage_ended_at = now
        self._last_response_at = now
        for row in rows:
            self._apply_row(row, now)
        self._remove_deleted(now)

    def _apply_row(self, row: Row, now: float) -> None:
        if RowKey.parse(row.key).partition:
            # Registrations have no partition; the row is of another program.
            return
        worker = self._reader.parse_worker_id(row)
        if row.value is None:
            if worker in self.entries:
                self._deleted_at.setdefault(worker, now)
            return
        entry = self._reader.read_worker(row)
        if entry is None:
            # The last readable registration holds until the row is deleted, since the
            # worker may still execute tasks.
            return
        self._deleted_at.pop(worker, None)
        self.entries[worker] = entry
        for listener in list(self._listeners):
            listener.on_worker_changed(entry)

    def _remove_deleted(self, now: float) -> None:
        if now < self._outage_ended_at + REREGISTRATION_GRACE_SECONDS:
            return
        for worker in list(self._deleted_at):
            del self._deleted_at[worker]
            del self.entries[worker]
            for listener in list(self._listeners):
                listener.on_worker_deregistered(worker)
