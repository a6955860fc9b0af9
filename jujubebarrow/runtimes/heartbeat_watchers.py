"""Watches the heartbeats of all instances."""

from asyncio import gather
from collections.abc import Callable
from typing import Any

from msgspec import Struct, ValidationError, convert

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.identifiers import IncarnationId, InstanceId, ZoneId
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.ownerships.lease_observers import LeaseObserver
from jujubebarrow.ownerships.ownership_rows import (
    DEFAULT_POOL_CAPACITY,
    UNKNOWN_ZONE,
    InstanceRow,
)
from jujubebarrow.runtimes.table_watchers import TableWatcher
from jujubebarrow.stores.row_keys import RowKey, TableName, make_key
from jujubebarrow.stores.rows import Row
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import ABSENT_REVISION

FEED_WAIT_SECONDS = 0.5
"""Longest time that the store may delay the response to a request for changes; limits
how old the last confirmation of an unchanged heartbeat can become."""
FEED_SPACING_SECONDS = 0.3
"""Minimum time between two requests; at most a third of a lease."""
STARTUP_SECONDS = 2.0
"""Time after this instance's start during which heartbeats are read more often, to
detect instances that start together."""
STARTUP_SPACING_SECONDS = 0.03
"""Minimum time between two requests during startup."""
STARTUP_WAIT_SECONDS = 0.1
"""Longest time that the store may delay a response during startup, since only time up
to the last read counts as silence of an instance that was lost before."""
OBSERVER_SPACING_SECONDS = 1.0
"""Time between two requests of an instance that claims no duties; less than the time
without a read that counts as a gap."""
CONCURRENT_READS_LIMIT = 16
"""Most heartbeats read concurrently; a part of the connections to the store."""
ROW_NAME = "heartbeat"
SPARE_SUFFIX = ":spare"
"""Suffix of the partition with the heartbeat of an instance whose usual one fails."""


class _Heartbeat(Struct):
    incarnation: str
    stopping: bool
    address: str
    zone: str = UNKNOWN_ZONE
    pools: float = DEFAULT_POOL_CAPACITY
    renewals: int = 0
    sent: float | None = None
    owner: bool = False
    revoked: bool = False
    blocked: bool = False


def make_heartbeat_key(instance: InstanceId) -> str:
    """Return the key of an instance's heartbeat, in a separate partition per instance.

    A slow store writes the rows of one partition one after the other; writing the
    heartbeats of all instances to one partition would take longer than a lease.
    """
    return make_key(TableName.HEARTBEATS, instance, ROW_NAME)


def make_spare_key(instance: InstanceId) -> str:
    """Return the key of the heartbeat in an instance's second partition.

    A part of the store may not answer. A lease must not depend on a single partition.
    """
    return make_key(TableName.HEARTBEATS, instance + SPARE_SUFFIX, ROW_NAME)


def parse_instance(partition: str) -> InstanceId:
    """Return the instance whose heartbeat a partition holds."""
    return InstanceId(partition.removesuffix(SPARE_SUFFIX))


async def read_heartbeats(store: Store, instance: InstanceId) -> dict[str, Row | None]:
    """Return the rows of both partitions of an instance by their keys.

    Raises:
        StoreError: A partition could not be read.
    """
    keys = (make_heartbeat_key(instance), make_spare_key(instance))
    found = await gather(*(store.read(key) for key in keys))
    return {
        key: next((row for row in rows.rows if row.key == key), None)
        for key, rows in zip(keys, found, strict=True)
    }


def find_latest_key(rows: dict[str, Row | None]) -> str:
    """Return the key of an instance's latest heartbeat, which no other has blocked."""

    def rank(key: str) -> tuple[bool, int]:
        row = rows[key]
        is_blocked = row is not None and bool((row.value or {}).get("blocked"))
        return not is_blocked, get_revision(row)

    return max(rows, key=rank)


def get_revision(row: Row | None) -> int:
    """Return the revision of a row that may not exist."""
    return ABSENT_REVISION if row is None else row.revision


def make_heartbeat(row: InstanceRow) -> dict[str, Any]:
    """Return the stored value of a heartbeat."""
    return {
        "incarnation": row.incarnation,
        "stopping": row.is_stopping,
        "address": row.address,
        "zone": row.zone,
        "pools": row.pool_capacity,
        "renewals": row.renewal_count,
        "sent": row.sent_at,
        "owner": row.owns_duties,
        "revoked": row.is_revoked,
        "blocked": row.is_blocked,
    }


def read_heartbeat(row: Row) -> InstanceRow:
    """Decode an instance's heartbeat.

    Raises:
        ValidationError: From msgspec; the row is no heartbeat.
    """
    heartbeat = convert(row.value, _Heartbeat)
    return InstanceRow(
        parse_instance(RowKey.parse(row.key).partition),
        IncarnationId(heartbeat.incarnation),
        heartbeat.stopping,
        heartbeat.address,
        row.revision,
        ZoneId(heartbeat.zone),
        heartbeat.pools,
        heartbeat.renewals,
        heartbeat.sent,
        heartbeat.owner,
        heartbeat.revoked,
        heartbeat.blocked,
    )


class HeartbeatWatcher(TableWatcher):
    """Passes changed heartbeats to the lease observer.

    Args:
        store: Store that holds the heartbeats.
        observer: Observer that tracks which instances are alive.
        is_claimant: Returns whether this instance may claim duties.
        on_read: Called with the changed heartbeats after each read.
        clock: Time source.
        log: Decision log.
        metrics: Registry of the counters.
    """

    def __init__(
        self,
        store: Store,
        observer: LeaseObserver,
        is_claimant: Callable[[], bool],
        on_read: Callable[[list[InstanceRow]], None],
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        table = TableName.HEARTBEATS.value
        super().__init__(
            store, table, FEED_WAIT_SECONDS, FEED_SPACING_SECONDS, clock, log, metrics
        )
        self._observer = observer
        self._is_claimant = is_claimant
        self._on_read = on_read
        self._created_at = clock.monotonic()

    @property
    def spacing(self) -> float:
        """Minimum time in seconds between two requests."""
        if not self._is_claimant():
            return OBSERVER_SPACING_SECONDS
        return STARTUP_SPACING_SECONDS if self._is_starting else FEED_SPACING_SECONDS

    @property
    def wait(self) -> float:
        """Longest time in seconds that the store may delay a response."""
        if not self._is_claimant():
            return 0.0
        return STARTUP_WAIT_SECONDS if self._is_starting else FEED_WAIT_SECONDS

    @property
    def _is_starting(self) -> bool:
        return self._clock.monotonic() < self._created_at + STARTUP_SECONDS

    async def reload(self) -> tuple[int, list[Row]]:
        """Read all heartbeats."""
        # The change feed continues from the revision read before the heartbeats, and
        # therefore delivers changes again that happen while the heartbeats are read.
        sent_at = self._clock.monotonic()
        control = await self._store.read(make_key(TableName.CONTROL, "", ""))
        self.record_store_time(sent_at, control.clock)
        names = await self._store.list_partitions(TableName.HEARTBEATS.value)
        rows: list[Row] = []
        for start in range(0, len(names), CONCURRENT_READS_LIMIT):
            found = await gather(
                *(
                    self._store.read(make_key(TableName.HEARTBEATS, name, ROW_NAME))
                    for name in names[start : start + CONCURRENT_READS_LIMIT]
                )
            )
            rows.extend(row for row_set in found for row in row_set.rows)
        return control.revision, rows

    async def apply(self, rows: list[Row], sent_at: float) -> None:
        """Pass changed heartbeats to the observer."""
        heartbeats = []
        for row in rows:
            key = RowKey.parse(row.key)
            if key.name != ROW_NAME:
                continue
            if row.value is None:
                self._observer.forget(parse_instance(key.partition), row.revision)
                continue
            try:
                heartbeats.append(read_heartbeat(row))
            except ValidationError:
                self._metrics.count("row_unreadable", TableName.HEARTBEATS.value)
        now = self._clock.monotonic()
        sent_times = {
            row.revision: self.to_local_time(row.sent_at)
            for row in heartbeats
            if row.sent_at is not None
        }
        self._observer.observe(heartbeats, now, sent_times)
        self._on_read(heartbeats)
