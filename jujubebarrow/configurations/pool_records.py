"""Record of a pool."""

from pydantic import Field

from jujubebarrow.configurations.record_bases import Record


class Pool(Record):
    """Set of instances that run the same services.

    Attributes:
        unavailable_limit: Most instances out of service at a time.
        spare: Whether instances may be lent from here to other pools.
        accelerators: Accelerators that each instance must have.
    """

    unavailable_limit: int = Field(1, ge=0)
    spare: bool = False
    accelerators: int = Field(0, ge=0)
