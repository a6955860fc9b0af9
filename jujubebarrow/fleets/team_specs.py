"""Operator's configuration of a team."""

from dataclasses import dataclass

from jujubebarrow.identifiers import TeamId
from jujubebarrow.workloads.resources import NO_RESOURCES, Resources


@dataclass(frozen=True, slots=True, kw_only=True)
class TeamSpec:
    """Share and upper limit of a team.

    Attributes:
        team: Id of the team.
        weight: Share of the team, relative to the other teams, when pools are full.
        limit: Upper limit for the resources of the team's runs over all pools; 0
            means no limit.
    """

    team: TeamId
    weight: float = 1.0
    limit: Resources = NO_RESOURCES
