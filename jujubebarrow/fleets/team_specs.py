"""Team as the operator configured it."""

from dataclasses import dataclass

from jujubebarrow.identifiers import TeamId
from jujubebarrow.workloads.resources import NOTHING, Resources


@dataclass(frozen=True, slots=True, kw_only=True)
class TeamSpec:
    """Team, its share and its upper limit.

    Attributes:
        team: Team.
        weight: Share when all is full.
        limit: What it may have running in all pools; 0 means no limit.
    """

    team: TeamId
    weight: float = 1.0
    limit: Resources = NOTHING
