"""Follows the operator's configuration of the fleet."""

from collections.abc import Callable

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.fleets.fleet_maps import FleetMap
from jujubebarrow.fleets.wave_requests import WaveRequest
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.document_readers import DocumentReader
from jujubebarrow.runtimes.fleet_sources import FleetSource
from jujubebarrow.runtimes.table_followers import TableFollower
from jujubebarrow.stores.rows import Row
from jujubebarrow.stores.stores import Store

FEED_WAIT = 1.0
"""Seconds; short beside the time within which a withdrawn key must stop."""


class FleetFollower(TableFollower, FleetSource):
    """Follows the configuration in the store.

    Args:
        store: Store.
        reader: Decodes the operator's documents.
        key_freshness: Age in seconds at which calls with a key are refused.
        clock: Time source; it must not stand still while a machine is suspended.
        log: Log of decisions.
        metrics: Counters.
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
        super().__init__(store, table, FEED_WAIT, 0.0, clock, log, metrics)
        self._reader = reader
        self._key_freshness = key_freshness
        self._confirmed_at: float | None = None
        self._listeners: list[Callable[[FleetMap], None]] = []
        self._fleet: FleetMap | None = None
        self._waves: dict[str, WaveRequest] = {}

    @property
    def fleet(self) -> FleetMap | None:
        """Configuration in force; None before the first."""
        return self._fleet

    @property
    def waves(self) -> dict[str, WaveRequest]:
        """Requests for maintenance."""
        return self._waves

    @property
    def age(self) -> float:
        """Seconds since the question whose answer confirmed the configuration."""
        if self._confirmed_at is None:
            return float("inf")
        return self._clock.monotonic() - self._confirmed_at

    @property
    def is_fresh(self) -> bool:
        """Whether calls with a key may be taken."""
        return self._fleet is not None and self.age < self._key_freshness

    def listen(self, listener: Callable[[FleetMap], None]) -> None:
        """Have a function called with each new configuration."""
        self._listeners.append(listener)

    async def reload(self) -> tuple[int, list[Row]]:
        """Read the operator's documents."""
        rows = await self._store.read(f"{self._table}//")
        return rows.revision, rows.rows

    async def apply(self, rows: list[Row], sent_at: float) -> None:
        """Take over changed documents."""
        for row in rows:
            self._apply_row(row)
        self._confirmed_at = sent_at

    def _apply_row(self, row: Row) -> None:
        if self._reader.is_fleet(row):
            fleet = self._reader.read_fleet(row)
            if fleet is not None:
                self._apply_fleet(fleet)
            return
        wave = self._reader.read_wave(row)
        if wave is not None and row.key not in self._waves:
            self._waves[row.key] = wave
            self._log.write("wave_requested", wave=wave.wave, machines=wave.machines)

    def _apply_fleet(self, fleet: FleetMap) -> None:
        current = self._fleet.version if self._fleet else -1
        if fleet.version <= current:
            if fleet.version < current:
                self._metrics.count("configuration_ignored", "older")
            return
        self._fleet = fleet
        self._log.write(
            "configuration_in_force",
            version=fleet.version,
            former=current,
            queues=len(fleet.queues),
        )
        for listener in self._listeners:
            listener(fleet)
