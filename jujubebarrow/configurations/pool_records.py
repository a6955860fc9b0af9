"""Record of a pool."""

from pydantic import Field

from jujubebarrow.configurations.record_bases import Record


class Pool(Record):
    """Pool: a set of instances that run the same services.

    Attributes:
        unavailable_limit: Maximum number of instances unavailable at the same time.
        spare: Whether the pool may lend instances to other pools.
        accelerators: Number of accelerators that each instance must have.
    """

    unavailable_limit: int = Field(1, ge=0)
    spare: bool = False
    accelerators: int = Field(0, ge=0)
