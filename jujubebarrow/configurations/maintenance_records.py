"""Record of a maintenance wave."""

from pydantic import Field

from jujubebarrow.configurations.record_bases import Name, Record


class Maintenance(Record):
    """Maintenance wave: one maintenance of each instance of the selected pools.

    Attributes:
        pools: Names of the pools to maintain; empty for all pools.
        started: Start of the wave, in seconds since the epoch.
        paused: Whether the wave starts the maintenance of no further instance.
        failure_limit: Number of failed instances at which the wave pauses.
    """

    pools: list[Name] = []
    started: float
    paused: bool = False
    failure_limit: int = Field(2, ge=1)
