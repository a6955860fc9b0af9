"""Watches accepted and cancelled jobs."""

from msgspec import ValidationError

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.identifiers import JobId, QueueId
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.job_listeners import JobListener
from jujubebarrow.runtimes.job_row_keys import CANCELLED_SUFFIX, parse_end_name
from jujubebarrow.runtimes.table_watchers import TableWatcher
from jujubebarrow.stores.row_keys import RowKey, TableName, make_key
from jujubebarrow.stores.rows import Row
from jujubebarrow.stores.stores import Store
from jujubebarrow.workloads.job_records import JobRecord

FEED_WAIT_SECONDS = 2.0
"""Longest time that the store may delay the response to a request for changes."""
FEED_SPACING_SECONDS = 0.06
"""Minimum time between two requests; short compared with a job's objective of 1 s."""

FEED_LAG_LIMIT_SECONDS = 2.9
"""Longest delay of the report of an accepted job while the jobs count as complete;
callers are promised that a job is visible 3 s after its acceptance."""


def read_job(row: Row, metrics: MetricsRegistry) -> JobRecord | None:
    """Decode an accepted job; count an undecodable row and return None."""
    try:
        return JobRecord.from_document(row.value or {})
    except ValidationError:
        metrics.count("row_unreadable", TableName.JOBS.value)
        return None


class JobWatcher(TableWatcher):
    """Notifies listeners of jobs that any instance accepts or cancels.

    Args:
        store: Store that holds the jobs.
        clock: Time source.
        log: Decision log.
        metrics: Registry of the counters.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        table = TableName.JOBS.value
        super().__init__(
            store, table, FEED_WAIT_SECONDS, FEED_SPACING_SECONDS, clock, log, metrics
        )
        self._listeners: list[JobListener] = []

    @property
    def is_needed(self) -> bool:
        """Whether the owner of any pool is registered as a listener."""
        return bool(self._listeners)

    def add_listener(self, listener: JobListener) -> None:
        """Register a listener for the jobs accepted or cancelled from now on."""
        self._listeners.append(listener)
        self.wake()

    def remove_listener(self, listener: JobListener) -> None:
        """Stop notifying a listener."""
        self._listeners.remove(listener)

    def read_store_time(self) -> float | None:
        """Return the time of the store's clock in seconds, which is never too late.

        Returns None if accepted jobs may be unreported for too long.
        """
        return self.estimate_store_time(FEED_LAG_LIMIT_SECONDS)

    async def reload(self) -> tuple[int, list[Row]]:
        """Return the current revision; tell listeners to read earlier rows."""
        sent_at = self._clock.monotonic()
        found = await self._store.read(make_key(TableName.CONTROL, "", ""))
        self.record_store_time(sent_at, found.clock)
        for listener in list(self._listeners):
            listener.on_history_lost()
        return found.revision, []

    async def apply(self, rows: list[Row], sent_at: float) -> None:
        """Notify listeners of accepted and cancelled jobs and of reported ends."""
        for row in rows:
            if row.value is None:
                continue
            key = RowKey.parse(row.key)
            if key.name.endswith(CANCELLED_SUFFIX):
                job = JobId(key.name.removesuffix(CANCELLED_SUFFIX))
                for listener in list(self._listeners):
                    listener.on_job_cancelled(QueueId(key.partition), job)
                continue
            task = parse_end_name(key.name)
            if task is not None:
                for listener in list(self._listeners):
                    listener.on_task_done_elsewhere(task)
                continue
            record = read_job(row, self._metrics)
            # The owner that has closed a job replaces the job's row by a compact one.
            if record is not None and record.outcome is None:
                for listener in list(self._listeners):
                    listener.on_job_accepted(record)
