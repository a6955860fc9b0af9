"""Record of a team."""

from pydantic import Field

from jujubebarrow.configurations.record_bases import Record


class Team(Record):
    """Customer with a share and an upper limit.

    Attributes:
        share: Weight when a pool is full.
        limit: Most requests running at a time, fleet-wide.
        job_cores: Most processor cores that the tasks of its jobs hold at a time,
            fleet-wide; 0 for no limit.
    """

    share: float = Field(1.0, gt=0)
    limit: int = Field(8, ge=0)
    job_cores: int = Field(0, ge=0)
