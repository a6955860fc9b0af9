"""Stored progress of a maintenance wave."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from jujubebarrow.identifiers import InstanceId
from jujubebarrow.workloads.identifiers import MachineId


class UpkeepState(Enum):
    """State of one machine in a maintenance wave."""

    WAITING = "waiting"
    DRAINING = "draining"
    DOWN = "down"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class MachineUpkeep:
    """Maintenance state of one machine in a wave.

    Attributes:
        state: Phase of the machine's maintenance.
        holder: Entry instance that controls the maintenance; empty if none does.
    """

    state: UpkeepState = UpkeepState.WAITING
    holder: InstanceId = InstanceId("")


@dataclass(slots=True)
class WaveRecord:
    """Progress of a maintenance wave.

    Attributes:
        machines: Maintenance state by machine id.
        began: Time in seconds, by the store's clock, at which the wave was first
            seen.
    """

    machines: dict[MachineId, MachineUpkeep] = field(default_factory=dict)
    began: float = 0.0

    @property
    def busy_count(self) -> int:
        """Number of machines that are draining or down for maintenance."""
        active_states = (UpkeepState.DRAINING, UpkeepState.DOWN)
        return sum(upkeep.state in active_states for upkeep in self.machines.values())

    @property
    def is_completed(self) -> bool:
        """Whether the maintenance of every machine is done."""
        return all(
            upkeep.state is UpkeepState.DONE for upkeep in self.machines.values()
        )

    @property
    def waiting(self) -> list[MachineId]:
        """Machines whose maintenance has not begun."""
        return [
            name
            for name, upkeep in self.machines.items()
            if upkeep.state is UpkeepState.WAITING
        ]

    def copy(self) -> "WaveRecord":
        """Return a copy whose machines can be changed independently."""
        return WaveRecord(dict(self.machines), self.began)

    def to_document(self) -> dict[str, Any]:
        """Return the document to store."""
        return {
            "machines": {
                name: [upkeep.state.value, upkeep.holder]
                for name, upkeep in self.machines.items()
            },
            "began": self.began,
        }

    @classmethod
    def from_document(cls, document: dict[str, Any]) -> "WaveRecord":
        """Create a record from a stored document."""
        return cls(
            {
                MachineId(name): MachineUpkeep(UpkeepState(row[0]), InstanceId(row[1]))
                for name, row in document["machines"].items()
            },
            document["began"],
        )
