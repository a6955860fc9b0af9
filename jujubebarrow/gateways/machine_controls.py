"""Interface to the machines under the workers."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from jujubebarrow.errors.exceptions import JujubebarrowError
from jujubebarrow.identifiers import PoolId, ZoneId
from jujubebarrow.workloads.identifiers import FenceToken, MachineId, WorkerId


class MachineState(Enum):
    """What a machine is doing."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


class MachineAnswer(Enum):
    """What became of an order for a machine."""

    DONE = "done"
    FENCED = "fenced"
    BUSY = "busy"
    NOT_IN_WAVE = "not-in-wave"
    UNKNOWN_MACHINE = "unknown-machine"
    TRY_LATER = "try-later"


@dataclass(frozen=True, slots=True, kw_only=True)
class Machine:
    """Machine in the platform's list.

    Attributes:
        machine: Machine.
        pool: Pool it belongs to.
        state: What it is doing.
        zone: Availability zone.
        labels: Kind and rack.
        worker: Worker that runs on it; empty if none does.
    """

    machine: MachineId
    pool: PoolId
    state: MachineState
    zone: ZoneId
    labels: tuple[str, ...]
    worker: WorkerId


class MachineControlError(JujubebarrowError):
    """The platform's machine service did not answer; an order may take effect."""


class MachineControl(ABC):
    """Lists machines and takes them down for a move or maintenance."""

    @property
    def is_available(self) -> bool:
        """Whether machines can be moved and maintained from here."""
        return True

    @abstractmethod
    async def list_machines(self) -> list[Machine]:
        """Return all machines.

        Raises:
            MachineControlError: No answer.
        """

    @abstractmethod
    async def move(
        self, machine: MachineId, pool: PoolId, token: FenceToken
    ) -> MachineAnswer:
        """Move a machine to a pool; all that runs on it ends at once.

        Raises:
            MachineControlError: No answer.
        """

    @abstractmethod
    async def maintain(
        self, machine: MachineId, wave: int, token: FenceToken
    ) -> MachineAnswer:
        """Begin a machine's maintenance; all that runs on it ends at once.

        Raises:
            MachineControlError: No answer.
        """
