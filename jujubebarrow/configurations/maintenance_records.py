"""Record of a maintenance wave."""

from pydantic import Field

from jujubebarrow.configurations.record_bases import Name, Record


class Maintenance(Record):
    """Maintenance wave over the instances of some pools.

    Attributes:
        pools: Pools to maintain; all if empty.
        started: Start of the wave, in seconds since the epoch.
        paused: Whether the wave takes no further instance.
        failure_limit: Failed instances at which the wave pauses.
    """

    pools: list[Name] = []
    started: float
    paused: bool = False
    failure_limit: int = Field(2, ge=1)
