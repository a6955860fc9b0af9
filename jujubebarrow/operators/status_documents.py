"""Whole state as operators see it."""

from pydantic import BaseModel

from jujubebarrow.peers.status_messages import PeerStatus


class InstanceStatus(BaseModel):
    """Entry instance as seen from the one that answers."""

    reachable: bool
    silent: float
    status: PeerStatus


class TeamStatus(BaseModel):
    """Use of a team's upper limit.

    Attributes:
        team: Team.
        limit: Upper limit.
        running: Running requests, fleet-wide as last reported.
        usable: Units that the answering instance can use now.
    """

    team: str
    limit: int
    running: int
    usable: int


class FleetStatus(BaseModel):
    """Whole state as seen from one entry instance."""

    preset: str
    revision: int
    age: float | None
    fresh: bool
    platform: bool
    instances: list[InstanceStatus]
    teams: list[TeamStatus]
