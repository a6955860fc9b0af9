"""Load of a pool, reported to the other pools."""

from dataclasses import dataclass
from typing import Any

from msgspec import convert

from jujubebarrow.identifiers import PoolId


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolLoad:
    """Load of a pool; amounts of processor time are in thousandths of a core.

    Attributes:
        pool: Id of the pool.
        demand: Processor demand of the startable and running tasks, each job
            weighted by its remaining value.
        backlog: Processor demand of the same tasks, with late jobs counted in full.
        recent_demand: Greatest demand of the last seconds; at a demand peak, the demand
            of a moment may be small by chance.
        capacity: Processor capacity of the pool's workers.
        machines: Number of workers that accept tasks.
        movable: Number of these workers that can move to another pool at once; for a
            standby pool, whose other numbers are 0, the number of such machines.
        is_standby: Whether the pool's machines are switched off and cost nothing.
        is_used: Whether the pool has had jobs lately; other pools only lend.
        requested_labels: Label of each machine that steps wait for although the pool
            has free capacity; empty if any machine will do.
        offered_labels: Labels that other pools request and one of the movable has.
    """

    pool: PoolId
    demand: int
    capacity: int
    machines: int
    movable: int
    backlog: int = 0
    recent_demand: int = 0
    is_standby: bool = False
    is_used: bool = True
    requested_labels: tuple[str, ...] = ()
    offered_labels: tuple[str, ...] = ()

    @property
    def machine_size(self) -> float:
        """Mean capacity of a machine in thousandths of a core."""
        return self.capacity / self.machines if self.machines else 0.0

    def to_document(self) -> dict[str, Any]:
        """Return the document to store."""
        document: dict[str, Any] = {
            "demand": self.demand,
            "capacity": self.capacity,
            "machines": self.machines,
            "movable": self.movable,
            "backlog": self.backlog,
            "recent": self.recent_demand,
            "standby": self.is_standby,
            "used": self.is_used,
        }
        if self.requested_labels:
            document["requested"] = list(self.requested_labels)
        if self.offered_labels:
            document["offered"] = list(self.offered_labels)
        return document

    @classmethod
    def from_document(cls, pool: PoolId, document: dict[str, Any]) -> "PoolLoad":
        """Create a load from a stored document.

        Raises:
            KeyError: A field is missing.
            ValidationError: From msgspec; a field has another type.
        """
        fields = {
            "pool": pool,
            "demand": document["demand"],
            "capacity": document["capacity"],
            "machines": document["machines"],
            "movable": document["movable"],
            "backlog": document["backlog"],
            "recent_demand": document.get("recent", 0),
            "is_standby": document["standby"],
            "is_used": document.get("used", True),
            "requested_labels": document.get("requested", ()),
            "offered_labels": document.get("offered", ()),
        }
        return convert(fields, cls)

    def has_reportable_change(self, other: "PoolLoad") -> bool:
        """Return whether the load differs enough from the last reported load.

        Args:
            other: Load that was reported last.
        """
        if self._get_states() != other._get_states():
            return True
        step = max(1, self.capacity // REPORT_STEP_COUNT)
        return (
            abs(self.demand - other.demand) > step
            or abs(self.backlog - other.backlog) > step
        )

    def _get_states(self) -> tuple[Any, ...]:
        """Return what is reported at each change."""
        return (
            self.machines,
            self.movable,
            self.is_used,
            self.requested_labels,
            self.offered_labels,
        )


REPORT_STEP_COUNT = 10
"""A changed demand or backlog is reported if the difference is more than the pool's
capacity divided by this number."""
