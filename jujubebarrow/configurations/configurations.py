"""Configuration known to one instance."""

from collections.abc import Iterable
from typing import TypeVar

from loguru import logger
from pydantic import ValidationError

from jujubebarrow.configurations.budget_records import Budget
from jujubebarrow.configurations.instance_records import Instance
from jujubebarrow.configurations.key_records import Key
from jujubebarrow.configurations.maintenance_records import Maintenance
from jujubebarrow.configurations.pool_records import Pool
from jujubebarrow.configurations.preset_records import Preset
from jujubebarrow.configurations.queue_records import Queue
from jujubebarrow.configurations.record_bases import Record
from jujubebarrow.configurations.record_kinds import RecordKind
from jujubebarrow.configurations.records import RECORD_TYPES
from jujubebarrow.configurations.selection_records import Selection
from jujubebarrow.configurations.team_records import Team
from jujubebarrow.invariants.monitors import InvariantMonitor
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.stores.row_indexes import RowIndex
from jujubebarrow.stores.rows import Row

CONFIGURATION_PREFIX = "config/"
SELECTION_NAME = "preset"

_R = TypeVar("_R", bound=Record)


def row_key(kind: RecordKind, name: str) -> str:
    """Return the key of a record's row."""
    return f"{CONFIGURATION_PREFIX}{kind.value}/{name}"


class Configuration:
    """Records up to one revision, which only rises.

    Args:
        metrics: Where unreadable rows are counted.
        monitor: Checks that no row goes back.
    """

    def __init__(self, metrics: MetricsRegistry, monitor: InvariantMonitor):
        self._metrics = metrics
        self._monitor = monitor
        self._rows = RowIndex()
        self._records: dict[RecordKind, dict[str, Record]] = {
            kind: {} for kind in RecordKind
        }
        self._pools: dict[str, dict[str, Instance]] = {}
        self._revision = 0

    @property
    def revision(self) -> int:
        """Highest revision of a row; all changes up to it are known."""
        return self._revision

    @property
    def preset(self) -> str:
        """Name of the preset in force, or an empty text before the first."""
        selection = self.find(RecordKind.SELECTION, SELECTION_NAME, Selection)
        return selection.preset if selection else ""

    def apply(self, rows: Iterable[Row]) -> list[Row]:
        """Take in all changes after the present revision.

        Args:
            rows: Every row changed since ``revision``, in any order.

        Returns:
            Rows that were new here.
        """
        taken = []
        for row in sorted(rows, key=lambda row: row.revision):
            if row.revision <= self._revision_of(row.key):
                self._metrics.count("configuration_row_ignored")
                continue
            self._take(row)
            taken.append(row)
        return taken

    def _take(self, row: Row) -> None:
        self._monitor.check(
            row.revision >= self._revision,
            "configuration-reverts",
            f"{row.key} at {row.revision} after {self._revision}",
        )
        self._rows.put(row)
        self._revision = row.revision
        _, kind_name, name = row.key.split("/", 2)
        try:
            kind = RecordKind(kind_name)
            record = self._parse(kind, row)
        except (ValueError, ValidationError):
            self._metrics.count("configuration_row_unreadable")
            logger.warning("unreadable configuration row {}", row.key)
            return
        self._store(kind, name, record)

    def _parse(self, kind: RecordKind, row: Row) -> Record | None:
        if row.value is None:
            return None
        return RECORD_TYPES[kind].model_validate(row.value)

    def _store(self, kind: RecordKind, name: str, record: Record | None) -> None:
        old = self._records[kind].pop(name, None)
        if isinstance(old, Instance):
            self._pools[old.pool].pop(name, None)
        if record is None:
            return
        self._records[kind][name] = record
        if isinstance(record, Instance):
            self._pools.setdefault(record.pool, {})[name] = record

    def _revision_of(self, key: str) -> int:
        row = self._rows.get(key)
        return row.revision if row else 0

    def changes(self, since: int) -> list[Row]:
        """Return rows changed after a revision, oldest first."""
        return self._rows.changes(CONFIGURATION_PREFIX, since)

    def row(self, kind: RecordKind, name: str) -> Row | None:
        """Return a record's row, or None if there is none."""
        row = self._rows.get(row_key(kind, name))
        return row if row and row.value is not None else None

    def row_revision(self, kind: RecordKind, name: str) -> int:
        """Return the revision that a condition on a record's row must name."""
        row = self.row(kind, name)
        return row.revision if row else 0

    def find(self, kind: RecordKind, name: str, record_type: type[_R]) -> _R | None:
        """Return a record, or None if there is none."""
        record = self._records[kind].get(name)
        return record if isinstance(record, record_type) else None

    def names(self, kind: RecordKind) -> list[str]:
        """Return the names of all records of a kind."""
        return sorted(self._records[kind])

    def pool(self, name: str) -> Pool | None:
        """Return a pool."""
        return self.find(RecordKind.POOL, name, Pool)

    def queue(self, name: str) -> Queue | None:
        """Return a queue."""
        return self.find(RecordKind.QUEUE, name, Queue)

    def team(self, name: str) -> Team | None:
        """Return a team."""
        return self.find(RecordKind.TEAM, name, Team)

    def key(self, digest: str) -> Key | None:
        """Return a key by its digest."""
        return self.find(RecordKind.KEY, digest, Key)

    def instance(self, name: str) -> Instance | None:
        """Return an instance of the fleet."""
        return self.find(RecordKind.INSTANCE, name, Instance)

    def budget(self, pool: str) -> Budget:
        """Return the instances of a pool that are out of service."""
        return self.find(RecordKind.BUDGET, pool, Budget) or Budget()

    def preset_in_force(self) -> Preset:
        """Return the preset in force, or an empty one before the first."""
        return self.find(RecordKind.PRESET, self.preset, Preset) or Preset()

    def waves(self) -> dict[str, Maintenance]:
        """Return all maintenance waves by name."""
        return {
            name: record
            for name, record in self._records[RecordKind.MAINTENANCE].items()
            if isinstance(record, Maintenance)
        }

    def pool_instances(self, pool: str) -> dict[str, Instance]:
        """Return the instances of a pool by id."""
        return self._pools.get(pool, {})
