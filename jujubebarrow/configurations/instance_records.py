"""Record of an instance of the fleet."""

from pydantic import Field

from jujubebarrow.configurations.instance_states import InstanceState
from jujubebarrow.configurations.move_causes import MoveCause
from jujubebarrow.configurations.record_bases import Name, Record


class Instance(Record):
    """Instance of the fleet; its pool is exactly one.

    Attributes:
        pool: Pool that it belongs to.
        zone: Availability zone.
        rack: Rack, its failure domain.
        address: IP and port of its task interface.
        slots: Tasks that it runs at a time.
        cores: Processor cores.
        accelerators: Accelerators.
        state: State in the fleet.
        cause: Why it is being drained.
        target: Pool that it moves to after draining.
        maintained: End of its last maintenance, in seconds since the epoch.
        moved: End of its last move, in seconds since the epoch.
        reason: Sentence for operators on the last change.
    """

    pool: Name
    zone: Name
    rack: Name
    address: str = Field(pattern=r"^[0-9a-fA-F.:\[\]]+:\d{1,5}$")
    slots: int = Field(8, ge=1)
    cores: int = Field(32, ge=1)
    accelerators: int = Field(0, ge=0)
    state: InstanceState = InstanceState.SERVING
    cause: MoveCause = MoveCause.NONE
    target: Name | None = None
    maintained: float = 0.0
    moved: float = 0.0
    reason: str = ""
