"""Watches the operator's configuration of the fleet."""

from collections.abc import Callable

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.fleets.fleet_maps import FleetMap
from jujubebarrow.fleets.wave_requests import WaveRequest
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.document_readers import DocumentReader
from jujubebarrow.runtimes.fleet_sources import FleetSource
from jujubebarrow.runtimes.table_watchers import TableWatcher
from jujubebarrow.stores.row_keys import RowKey
from jujubebarrow.stores.rows import Row
from jujubebarrow.stores.stores import Store

FEED_WAIT_SECONDS = 1.0
"""Longest time that the store may delay the response to a request for changes; short
compared with the time within which a withdrawn key must stop working."""


class FleetWatcher(TableWatcher, FleetSource):
    """Watches the fleet's configuration and the wave requests in the store.

    Args:
        store: Store that holds the operator's documents.
        reader: Decoder of the operator's documents.
        key_freshness: Age of the configuration in seconds at which calls with a key
            begin to be refused.
        clock: Time source; must keep running while a machine is suspended.
        log: Decision log.
        metrics: Registry of the counters.
    """

    def __init__(
        self,
        store: Store,
        reader: DocumentReader,
        key_freshness: float,
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        table = reader.operator_table
        super().__init__(store, table, FEED_WAIT_SECONDS, 0.0, clock, log, metrics)
        self._reader = reader
        self._key_freshness = key_freshness
        self._confirmed_at: float | None = None
        self._listeners: list[Callable[[FleetMap], None]] = []
        self._fleet: FleetMap | None = None
        self._waves: dict[str, WaveRequest] = {}

    @property
    def fleet(self) -> FleetMap | None:
        """Configuration in force; None before the first one is read."""
        return self._fleet

    @property
    def waves(self) -> dict[str, WaveRequest]:
        """Maintenance waves requested by the operator, by row key."""
        return self._waves

    @property
    def age(self) -> float:
        """Seconds since the last request that confirmed the configuration was sent.

        Infinite before the first such request has succeeded.
        """
        if self._confirmed_at is None:
            return float("inf")
        return self._clock.monotonic() - self._confirmed_at

    @property
    def is_fresh(self) -> bool:
        """Whether the configuration is recent enough to accept calls with a key."""
        return self._fleet is not None and self.age < self._key_freshness

    def add_listener(self, listener: Callable[[FleetMap], None]) -> None:
        """Register a function that is called with each new configuration."""
        self._listeners.append(listener)

    async def reload(self) -> tuple[int, list[Row]]:
        """Read all of the operator's documents."""
        found = await self._store.read(f"{self._table}//")
        return found.revision, found.rows

    async def apply(self, rows: list[Row], sent_at: float) -> None:
        """Apply changed documents."""
        for row in rows:
            # The operator's documents have no partition.
            if not RowKey.parse(row.key).partition:
                self._apply_row(row)
        self._confirmed_at = sent_at

    def _apply_row(self, row: Row) -> None:
        if self._reader.is_fleet(row):
            fleet = self._reader.read_fleet(row)
            if fleet is not None:
                self._apply_configuration(fleet)
            return
        wave = self._reader.read_wave(row)
        if wave is not None and row.key not in self._waves:
            self._waves[row.key] = wave
            self._log.write("wave_requested", wave=wave.wave, machines=wave.machines)

    def _apply_configuration(self, fleet: FleetMap) -> None:
        current_version = self._fleet.version if self._fleet else -1
        if fleet.version <= current_version:
            if fleet.version < current_version:
                self._metrics.count("configuration_ignored", "older")
            return
        former_teams = self._fleet.teams if self._fleet else {}
        self._fleet = fleet
        self._log.write(
            "configuration_in_force",
            version=fleet.version,
            former=current_version,
            queues=len(fleet.queues),
            limits={
                team: spec.limit
                for team, spec in fleet.teams.items()
                if team not in former_teams or former_teams[team].limit != spec.limit
            },
        )
        for listener in self._listeners:
            listener(fleet)
