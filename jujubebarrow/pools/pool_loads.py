"""What a pool tells the others about its machines and its work."""

from dataclasses import dataclass
from typing import Any

from jujubebarrow.identifiers import PoolId


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolLoad:
    """Load of a pool; amounts in thousandths of a core.

    Attributes:
        pool: Pool.
        demand: What its startable and running tasks ask for, each job counted by what
            it is still worth.
        backlog: What they ask for, jobs that are late counted in full.
        capacity: What its workers have.
        machines: Number of its workers that take tasks.
        movable: Number of them that could go elsewhere at once.
        is_standby: Its machines are off and cost nothing.
    """

    pool: PoolId
    demand: int
    capacity: int
    machines: int
    movable: int
    backlog: int = 0
    is_standby: bool = False

    @property
    def machine_size(self) -> float:
        """Mean capacity of a machine."""
        return self.capacity / self.machines if self.machines else 0.0

    def to_document(self) -> dict[str, Any]:
        """Return the stored form."""
        return {
            "demand": self.demand,
            "capacity": self.capacity,
            "machines": self.machines,
            "movable": self.movable,
            "backlog": self.backlog,
            "standby": self.is_standby,
        }

    @classmethod
    def from_document(cls, pool: PoolId, document: dict[str, Any]) -> "PoolLoad":
        """Read the stored form."""
        return cls(
            pool=pool,
            demand=document["demand"],
            capacity=document["capacity"],
            machines=document["machines"],
            movable=document["movable"],
            backlog=document["backlog"],
            is_standby=document["standby"],
        )

    def differs(self, other: "PoolLoad") -> bool:
        """Return whether a difference is large enough to be told."""
        if self.machines != other.machines or self.movable != other.movable:
            return True
        step = max(1, self.capacity // TOLD_STEPS)
        return (
            abs(self.demand - other.demand) > step
            or abs(self.backlog - other.backlog) > step
        )


TOLD_STEPS = 10
"""Parts of a pool's capacity by which its demand must change to be told."""
