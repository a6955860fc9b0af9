"""Record of a team."""

from pydantic import Field

from jujubebarrow.configurations.record_bases import Record


class Team(Record):
    """Team: a customer with a share and an upper limit.

    Attributes:
        share: Weight of the team when teams compete for a full pool.
        limit: Upper limit of concurrently running requests in the whole fleet.
        job_cores: Upper limit of the processor cores that tasks of the team's jobs use
            concurrently in the whole fleet; 0 for no limit.
    """

    share: float = Field(1.0, gt=0)
    limit: int = Field(8, ge=0)
    job_cores: int = Field(0, ge=0)
