"""Interface to the machines on which the workers run."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from jujubebarrow.errors.exceptions import JujubebarrowError
from jujubebarrow.identifiers import PoolId, ZoneId
from jujubebarrow.workloads.identifiers import FenceToken, MachineId, WorkerId


class MachineState(Enum):
    """State of a machine."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


class MachineOrderOutcome(Enum):
    """Outcome of an order for a machine."""

    DONE = "done"
    FENCED = "fenced"
    BUSY = "busy"
    NOT_IN_WAVE = "not-in-wave"
    UNKNOWN_MACHINE = "unknown-machine"
    TRY_LATER = "try-later"


@dataclass(frozen=True, slots=True, kw_only=True)
class Machine:
    """Entry in the platform's list of machines.

    Attributes:
        machine: Id of the machine.
        pool: Id of the pool that the machine belongs to.
        state: Whether the machine is up, moving, in maintenance or down.
        zone: Availability zone of the machine.
        labels: Labels of the machine: kind and rack.
        worker: Id of the worker on the machine; empty if there is none.
    """

    machine: MachineId
    pool: PoolId
    state: MachineState
    zone: ZoneId
    labels: tuple[str, ...]
    worker: WorkerId


class MachineControlError(JujubebarrowError):
    """The platform's machine service did not respond; an order may take effect."""


class MachineControl(ABC):
    """Lists machines and takes them down for a move or for maintenance."""

    @property
    def is_available(self) -> bool:
        """Whether this control can move and maintain machines."""
        return True

    @abstractmethod
    async def list_machines(self) -> list[Machine]:
        """Return all machines.

        Raises:
            MachineControlError: The machine service did not respond.
        """

    @abstractmethod
    async def move(
        self, machine: MachineId, pool: PoolId, token: FenceToken
    ) -> MachineOrderOutcome:
        """Move a machine to a pool; all runs on the machine end at once.

        Raises:
            MachineControlError: The machine service did not respond.
        """

    @abstractmethod
    async def maintain(
        self, machine: MachineId, wave: int, token: FenceToken
    ) -> MachineOrderOutcome:
        """Begin a machine's maintenance; all runs on the machine end at once.

        Raises:
            MachineControlError: The machine service did not respond.
        """
