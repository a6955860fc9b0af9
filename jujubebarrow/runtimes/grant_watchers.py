"""Watches the stored grants of the teams."""

from msgspec import ValidationError

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.identifiers import TeamId
from jujubebarrow.limits.grant_rows import GrantRow
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.grant_listeners import GrantListener
from jujubebarrow.runtimes.table_watchers import TableWatcher
from jujubebarrow.stores.row_keys import RowKey, TableName, make_key
from jujubebarrow.stores.rows import Row
from jujubebarrow.stores.stores import Store

FEED_WAIT_SECONDS = 2.0
"""Longest time that the store may delay the response to a request for changes."""
FEED_SPACING_SECONDS = 0.3
"""Minimum time between two requests, since grants change often under load."""


class GrantWatcher(TableWatcher):
    """Tells the grant controllers of this instance's pools when grants change.

    Args:
        store: Store that holds the grants.
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
        table = TableName.GRANTS.value
        super().__init__(
            store, table, FEED_WAIT_SECONDS, FEED_SPACING_SECONDS, clock, log, metrics
        )
        self._listeners: list[GrantListener] = []

    @property
    def is_needed(self) -> bool:
        """Whether a grant controller is registered as a listener."""
        return bool(self._listeners)

    def add_listener(self, listener: GrantListener) -> None:
        """Register a listener for the changes from now on."""
        self._listeners.append(listener)
        self.wake()

    def remove_listener(self, listener: GrantListener) -> None:
        """Stop notifying a listener."""
        self._listeners.remove(listener)

    async def reload(self) -> tuple[int, list[Row]]:
        """Return the current revision; tell listeners to read earlier rows."""
        found = await self._store.read(make_key(TableName.CONTROL, "", ""))
        for listener in list(self._listeners):
            listener.on_grants_skipped()
        return found.revision, []

    async def apply(self, rows: list[Row], sent_at: float) -> None:
        """Notify listeners of changed grants."""
        for row in rows:
            if row.value is None:
                continue
            team = TeamId(RowKey.parse(row.key).partition)
            try:
                grants = GrantRow.from_document(row.value)
            except ValidationError:
                self._metrics.count("row_unreadable", TableName.GRANTS.value)
                continue
            for listener in list(self._listeners):
                listener.on_grants_changed(team, grants)
