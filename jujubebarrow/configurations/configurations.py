"""In-memory copy of the configuration in one instance."""

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
    """Return the key of the row that stores a record."""
    return f"{CONFIGURATION_PREFIX}{kind.value}/{name}"


class Configuration:
    """Configuration records up to a revision that never decreases.

    Args:
        metrics: Registry of the counters.
        monitor: Invariant monitor that checks that no row is applied that is older
            than the current revision.
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
        """Highest revision of an applied row; all changes up to it are applied."""
        return self._revision

    @property
    def preset_name(self) -> str:
        """Name of the preset in force, or an empty string if none was selected."""
        selection = self.find(RecordKind.SELECTION, SELECTION_NAME, Selection)
        return selection.preset if selection else ""

    def apply(self, rows: Iterable[Row]) -> list[Row]:
        """Apply all changes after the current revision.

        Args:
            rows: All rows changed since ``revision``, in any order.

        Returns:
            Rows that were applied; rows already known are ignored.
        """
        applied = []
        for row in sorted(rows, key=lambda row: row.revision):
            if row.revision <= self._revision_of(row.key):
                self._metrics.count("configuration_row_ignored")
                continue
            self._apply_row(row)
            applied.append(row)
        return applied

    def _apply_row(self, row: Row) -> None:
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
            record = self._parse_record(kind, row)
        except (ValueError, ValidationError):
            self._metrics.count("configuration_row_unreadable")
            logger.warning(
                "cannot parse configuration row {}; the record is not updated", row.key
            )
            return
        self._store_record(kind, name, record)

    def _parse_record(self, kind: RecordKind, row: Row) -> Record | None:
        if row.value is None:
            return None
        return RECORD_TYPES[kind].model_validate(row.value)

    def _store_record(self, kind: RecordKind, name: str, record: Record | None) -> None:
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

    def list_changes(self, since: int) -> list[Row]:
        """Return the rows changed after a revision, oldest first."""
        return self._rows.list_changes(CONFIGURATION_PREFIX, since)

    def row(self, kind: RecordKind, name: str) -> Row | None:
        """Return the row of a record, or None if the record does not exist."""
        row = self._rows.get(row_key(kind, name))
        return row if row and row.value is not None else None

    def row_revision(self, kind: RecordKind, name: str) -> int:
        """Return the revision that a condition on a record's row must name.

        The revision is 0 if the record does not exist.
        """
        row = self.row(kind, name)
        return row.revision if row else 0

    def find(self, kind: RecordKind, name: str, record_type: type[_R]) -> _R | None:
        """Return a record, or None if the record does not exist."""
        record = self._records[kind].get(name)
        return record if isinstance(record, record_type) else None

    def list_names(self, kind: RecordKind) -> list[str]:
        """Return the sorted names of all records of a kind."""
        return sorted(self._records[kind])

    def pool(self, name: str) -> Pool | None:
        """Return a pool's record, or None if the pool does not exist."""
        return self.find(RecordKind.POOL, name, Pool)

    def queue(self, name: str) -> Queue | None:
        """Return a queue's record, or None if the queue does not exist."""
        return self.find(RecordKind.QUEUE, name, Queue)

    def team(self, name: str) -> Team | None:
        """Return a team's record, or None if the team does not exist."""
        return self.find(RecordKind.TEAM, name, Team)

    def key(self, digest: str) -> Key | None:
        """Return a key's record by digest, or None if the key does not exist."""
        return self.find(RecordKind.KEY, digest, Key)

    def instance(self, name: str) -> Instance | None:
        """Return an instance's record, or None if the instance does not exist."""
        return self.find(RecordKind.INSTANCE, name, Instance)

    def budget(self, pool: str) -> Budget:
        """Return the availability budget of a pool."""
        return self.find(RecordKind.BUDGET, pool, Budget) or Budget()

    def preset_in_force(self) -> Preset:
        """Return the preset in force, or an empty preset if none was selected."""
        return self.find(RecordKind.PRESET, self.preset_name, Preset) or Preset()

    def waves(self) -> dict[str, Maintenance]:
        """Return all maintenance waves by name."""
        return {
            name: record
            for name, record in self._records[RecordKind.MAINTENANCE].items()
            if isinstance(record, Maintenance)
        }

    def pool_instances(self, pool: str) -> dict[str, Instance]:
        """Return the instances of a pool by instance id."""
        return self._pools.get(pool, {})
