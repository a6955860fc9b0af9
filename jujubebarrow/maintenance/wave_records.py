"""Stored progress of a maintenance wave."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from jujubebarrow.identifiers import InstanceId
from jujubebarrow.workloads.identifiers import MachineId


class MachineMaintenanceState(Enum):
    """State of one machine in a maintenance wave."""

    WAITING = "waiting"
    DRAINING = "draining"
    DOWN = "down"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class MachineMaintenance:
    """Maintenance state of one machine in a wave.

    Attributes:
        state: State of the machine in the wave.
        holder: Entry instance that controls the maintenance; empty if none does.
    """

    state: MachineMaintenanceState = MachineMaintenanceState.WAITING
    holder: InstanceId = InstanceId("")


@dataclass(slots=True)
class WaveRecord:
    """Progress of a maintenance wave.

    Attributes:
        machines: Maintenance state by machine id.
        first_seen_at: Time in seconds, by the store's clock, at which the wave was
            first seen.
    """

    machines: dict[MachineId, MachineMaintenance] = field(default_factory=dict)
    first_seen_at: float = 0.0

    @property
    def in_maintenance_count(self) -> int:
        """Number of machines that are draining or down for maintenance."""
        active_states = (MachineMaintenanceState.DRAINING, MachineMaintenanceState.DOWN)
        return sum(
            maintenance.state in active_states for maintenance in self.machines.values()
        )

    @property
    def is_completed(self) -> bool:
        """Whether the maintenance of every machine is done."""
        return all(
            maintenance.state is MachineMaintenanceState.DONE
            for maintenance in self.machines.values()
        )

    @property
    def waiting(self) -> list[MachineId]:
        """Machines whose maintenance has not begun."""
        return [
            name
            for name, maintenance in self.machines.items()
            if maintenance.state is MachineMaintenanceState.WAITING
        ]

    def copy(self) -> "WaveRecord":
        """Return a copy whose machines can be changed independently."""
        return WaveRecord(dict(self.machines), self.first_seen_at)

    def to_document(self) -> dict[str, Any]:
        """Return the document to store."""
        return {
            "machines": {
                name: [maintenance.state.value, maintenance.holder]
                for name, maintenance in self.machines.items()
            },
            "began": self.first_seen_at,
        }

    @classmethod
    def from_document(cls, document: dict[str, Any]) -> "WaveRecord":
        """Create a record from a stored document."""
        return cls(
            {
                MachineId(name): MachineMaintenance(
                    MachineMaintenanceState(row[0]), InstanceId(row[1])
                )
                for name, row in document["machines"].items()
            },
            document["began"],
        )
