"""Machine control for machines that pool owners neither move nor maintain."""

from jujubebarrow.gateways.machine_controls import (
    Machine,
    MachineControl,
    MachineOrderOutcome,
)
from jujubebarrow.identifiers import PoolId
from jujubebarrow.workloads.identifiers import FenceToken, MachineId


class NullMachineControl(MachineControl):
    """Machine control for installations whose machines are managed elsewhere."""

    @property
    def is_available(self) -> bool:
        """Whether this control can move and maintain machines."""
        return False

    async def list_machines(self) -> list[Machine]:
        """Return no machines."""
        return []

    async def move(
        self, machine: MachineId, pool: PoolId, token: FenceToken
    ) -> MachineOrderOutcome:
        """Refuse the order."""
        return MachineOrderOutcome.UNKNOWN_MACHINE

    async def maintain(
        self, machine: MachineId, wave: int, token: FenceToken
    ) -> MachineOrderOutcome:
        """Refuse the order."""
        return MachineOrderOutcome.UNKNOWN_MACHINE
