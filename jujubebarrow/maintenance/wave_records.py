"""How far a wave of maintenance is, as stored."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from jujubebarrow.identifiers import InstanceId
from jujubebarrow.workloads.identifiers import MachineId


class UpkeepState(Enum):
    """What has become of one machine of a wave."""

    WAITING = "waiting"
    DRAINING = "draining"
    DOWN = "down"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class MachineUpkeep:
    """Maintenance of one machine.

    Attributes:
        state: What has become of it.
        holder: Instance that gives orders for it; empty if none does.
    """

    state: UpkeepState = UpkeepState.WAITING
    holder: InstanceId = InstanceId("")


@dataclass(slots=True)
class WaveRecord:
    """Progress of a wave.

    Attributes:
        machines: Maintenance of each machine of the wave.
        began: Time in seconds at which it was first seen, by the store's clock.
    """

    machines: dict[MachineId, MachineUpkeep] = field(default_factory=dict)
    began: float = 0.0

    @property
    def busy_count(self) -> int:
        """Number of machines that are being drained or are down for it."""
        busy = (UpkeepState.DRAINING, UpkeepState.DOWN)
        return sum(upkeep.state in busy for upkeep in self.machines.values())

    @property
    def is_completed(self) -> bool:
        """Whether every machine has had its maintenance."""
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
        """Return a copy that can be changed."""
        return WaveRecord(dict(self.machines), self.began)

    def to_document(self) -> dict[str, Any]:
        """Return the stored form."""
        return {
            "machines": {
                name: [upkeep.state.value, upkeep.holder]
                for name, upkeep in self.machines.items()
            },
            "began": self.began,
        }

    @classmethod
    def from_document(cls, document: dict[str, Any]) -> "WaveRecord":
        """Read the stored form."""
        return cls(
            {
                MachineId(name): MachineUpkeep(UpkeepState(row[0]), InstanceId(row[1]))
                for name, row in document["machines"].items()
            },
            document["began"],
        )
