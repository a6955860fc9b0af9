"""Follows accepted and cancelled jobs."""

from msgspec import ValidationError

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.identifiers import JobId, QueueId
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.job_listeners import JobListener
from jujubebarrow.runtimes.job_rows import CANCELLED_SUFFIX
from jujubebarrow.runtimes.table_followers import TableFollower
from jujubebarrow.stores.row_keys import RowKey, TableName, make_key
from jujubebarrow.stores.rows import Row
from jujubebarrow.stores.stores import Store
from jujubebarrow.workloads.job_records import JobRecord

FEED_WAIT = 2.0
"""Seconds that the store may hold a question."""
FEED_SPACING = 0.06
"""Seconds between two questions; small beside a job's objective of a second."""


def read_job(row: Row, metrics: MetricsRegistry) -> JobRecord | None:
    """Return an accepted job, or None, counted, if its row cannot be read."""
    try:
        return JobRecord.from_document(row.value or {})
    except ValidationError:
        metrics.count("row_unreadable", TableName.JOBS.value)
        return None


class JobFollower(TableFollower):
    """Tells listeners of the jobs that all instances accept.

    Args:
        store: Store.
        clock: Time source.
        log: Log of decisions.
        metrics: Counters.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        table = TableName.JOBS.value
        super().__init__(store, table, FEED_WAIT, FEED_SPACING, clock, log, metrics)
        self._listeners: list[JobListener] = []

    @property
    def is_needed(self) -> bool:
        """Whether this instance owns a pool."""
        return bool(self._listeners)

    def listen(self, listener: JobListener) -> None:
        """Tell a listener of all changes from now on."""
        self._listeners.append(listener)

    def unlisten(self, listener: JobListener) -> None:
        """Tell a listener nothing more."""
        self._listeners.remove(listener)

    async def reload(self) -> tuple[int, list[Row]]:
        """Go on from the present revision; listeners read the rows themselves."""
        found = await self._store.read(make_key(TableName.CONTROL, "", ""))
        for listener in list(self._listeners):
            listener.on_history_lost()
        return found.revision, []

    async def apply(self, rows: list[Row], sent_at: float) -> None:
        """Tell listeners of new rows."""
        for row in rows:
            if row.value is None:
                continue
            key = RowKey.parse(row.key)
            if key.name.endswith(CANCELLED_SUFFIX):
                job = JobId(key.name.removesuffix(CANCELLED_SUFFIX))
                for listener in list(self._listeners):
                    listener.on_cancelled(QueueId(key.partition), job)
                continue
            record = read_job(row, self._metrics)
            if record is not None:
                for listener in list(self._listeners):
                    listener.on_job(record)
