"""Documents that describe the status of the fleet to operators."""

from pydantic import BaseModel

from jujubebarrow.peers.status_messages import PeerStatus


class InstanceStatus(BaseModel):
    """Status of an entry instance as last received by the responding instance.

    Attributes:
        reachable: Whether the instance is reachable from the responding instance.
        silent: Time in seconds since the instance last responded to a heartbeat.
        status: Last status that the instance reported.
    """

    reachable: bool
    silent: float
    status: PeerStatus


class TeamStatus(BaseModel):
    """Usage of a team's upper limit.

    Attributes:
        team: Name of the team.
        limit: Upper limit of the team.
        running: Running requests of the team on all reachable instances, as last
            reported.
        usable: Units of the limit that the responding instance can use now.
    """

    team: str
    limit: int
    running: int
    usable: int


class FleetStatus(BaseModel):
    """Status of the fleet as seen from the responding entry instance.

    Attributes:
        preset: Preset in force; empty if none.
        revision: Revision of the configuration in force.
        age: Greatest possible age of the configuration in seconds; None before the
            first read.
        fresh: Whether work that needs a key may be started.
        platform: Whether the last read of the platform succeeded.
        instances: Status of each entry instance.
        teams: Usage of each team's upper limit.
    """

    preset: str
    revision: int
    age: float | None
    fresh: bool
    platform: bool
    instances: list[InstanceStatus]
    teams: list[TeamStatus]
