"""Follows the heartbeats of all instances."""

from typing import Any

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.identifiers import IncarnationId, InstanceId
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.ownerships.holders import InstanceRow
from jujubebarrow.ownerships.lease_observers import LeaseObserver
from jujubebarrow.runtimes.table_followers import TableFollower
from jujubebarrow.stores.row_keys import RowKey, TableName, make_key
from jujubebarrow.stores.rows import Row
from jujubebarrow.stores.stores import Store

FEED_WAIT = 0.5
"""Seconds that the store may hold a question; the time of an unchanged heartbeat is
known that well."""
FEED_SPACING = 0.3
"""Seconds between two questions; a third of a lease or less."""
HURRY = 2.0
"""Seconds after the start in which instances that start together are awaited."""
HURRY_SPACING = 0.03
"""Seconds between two questions meanwhile."""
NAME = "heartbeat"


def heartbeat_row(instance: InstanceId) -> str:
    """Return the key of an instance's heartbeat, in a partition of its own.

    A store that is slow writes one row after the other in a partition; heartbeats of
    all instances together would not fit into a lease.
    """
    return make_key(TableName.HEARTBEATS, instance, NAME)


def make_heartbeat(
    incarnation: IncarnationId, stopping: bool, address: str
) -> dict[str, Any]:
    """Return the value of a heartbeat."""
    return {"incarnation": incarnation, "stopping": stopping, "address": address}


def read_heartbeat(row: Row) -> InstanceRow:
    """Return an instance's heartbeat."""
    value = row.value or {}
    return InstanceRow(
        InstanceId(RowKey.parse(row.key).partition),
        IncarnationId(value["incarnation"]),
        value["stopping"],
        value["address"],
        row.revision,
    )


class HeartbeatFollower(TableFollower):
    """Tells the observer of leases what changes.

    Args:
        store: Store.
        observer: Notes which instances are alive.
        clock: Time source.
        log: Log of decisions.
        metrics: Counters.
    """

    def __init__(
        self,
        store: Store,
        observer: LeaseObserver,
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        table = TableName.HEARTBEATS.value
        super().__init__(store, table, FEED_WAIT, FEED_SPACING, clock, log, metrics)
        self._observer = observer
        self._opened_at = clock.monotonic()

    @property
    def spacing(self) -> float:
        """Least time in seconds between two questions."""
        if self._clock.monotonic() < self._opened_at + HURRY:
            return HURRY_SPACING
        return FEED_SPACING

    async def reload(self) -> tuple[int, list[Row]]:
        """Read all heartbeats."""
        # What changes meanwhile is told again after this revision.
        before = await self._store.read(make_key(TableName.CONTROL, "", ""))
        rows: list[Row] = []
        for name in await self._store.list_partitions(TableName.HEARTBEATS.value):
            found = await self._store.read(heartbeat_row(InstanceId(name)))
            rows.extend(found.rows)
        return before.revision, rows

    async def apply(self, rows: list[Row], sent_at: float) -> None:
        """Take over changed heartbeats."""
        heartbeats = [read_heartbeat(row) for row in rows if row.value is not None]
        self._observer.observe(heartbeats, self._clock.monotonic())
