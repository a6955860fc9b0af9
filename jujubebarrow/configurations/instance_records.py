"""Record of an instance of the fleet."""

from pydantic import Field

from jujubebarrow.configurations.drain_causes import DrainCause
from jujubebarrow.configurations.instance_states import InstanceState
from jujubebarrow.configurations.record_bases import Name, Record


class Instance(Record):
    """Instance of the fleet, which belongs to exactly one pool.

    Attributes:
        pool: Name of the pool that the instance belongs to.
        zone: Availability zone of the instance.
        rack: Rack of the instance, a failure domain.
        address: IP address and port of the task interface.
        slots: Maximum number of concurrent tasks.
        cores: Number of processor cores.
        accelerators: Number of accelerators.
        state: State of the instance in the fleet.
        cause: Cause of the current drain.
        target: Pool that the instance moves to after draining.
        maintained: End of the last maintenance, in seconds since the epoch.
        moved: End of the last move, in seconds since the epoch.
        reason: Explanation of the last change for operators.
    """

    pool: Name
    zone: Name
    rack: Name
    address: str = Field(pattern=r"^[0-9a-fA-F.:\[\]]+:\d{1,5}$")
    slots: int = Field(8, ge=1)
    cores: int = Field(32, ge=1)
    accelerators: int = Field(0, ge=0)
    state: InstanceState = InstanceState.SERVING
    cause: DrainCause = DrainCause.NONE
    target: Name | None = None
    maintained: float = 0.0
    moved: float = 0.0
    reason: str = ""
