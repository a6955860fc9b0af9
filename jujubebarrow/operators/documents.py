"""Documents of the operators' interface."""

from typing import Any

from pydantic import BaseModel

from jujubebarrow.callers.job_documents import JobDocument
from jujubebarrow.peers.status_messages import PeerStatus


class RecordDocument(BaseModel):
    """Record with the revision that a change must name."""

    kind: str
    name: str
    revision: int
    value: dict[str, Any]


class RecordList(BaseModel):
    """Records of one kind."""

    records: list[RecordDocument]


class Committed(BaseModel):
    """Accepted change."""

    revision: int
    reason: str = ""


class GrantedKey(BaseModel):
    """New key, shown this once."""

    key: str
    digest: str
    team: str


class KeyRequest(BaseModel):
    """Team that gets a new key."""

    team: str


class PresetRequest(BaseModel):
    """Preset to put in force."""

    preset: str


class InstanceAction(BaseModel):
    """What an operator wants of an instance.

    Attributes:
        action: One of drain, resume, move.
        target: Pool to move to.
        reason: Sentence that is kept with the instance.
    """

    action: str
    target: str | None = None
    reason: str = "operator"


class WaveRequest(BaseModel):
    """Maintenance wave to start or change."""

    pools: list[str] = []
    failure_limit: int = 2


class PoolPlan(BaseModel):
    """Effect of a preset on one pool."""

    pool: str
    size: int
    wanted: int
    unavailable: int
    unavailable_limit: int


class PresetPlan(BaseModel):
    """Effect of a preset."""

    preset: str
    in_force: bool
    maintenance: bool
    moves: bool
    pools: list[PoolPlan]


class WaveProgress(BaseModel):
    """Progress of a maintenance wave.

    Attributes:
        name: Name of the wave.
        total: Instances of its pools.
        done: Instances maintained since its start.
        paused: Whether it takes no further instance.
        remaining: Foretold seconds to its end; None before the first is done.
    """

    name: str
    total: int
    done: int
    paused: bool
    remaining: float | None


class WaveList(BaseModel):
    """All maintenance waves."""

    waves: list[WaveProgress]


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


class ExplainedLine(BaseModel):
    """Decision on a subject."""

    time: float
    instance: str
    sentence: str


class ExplainedSubject(BaseModel):
    """Decisions on a subject from all instances that answer."""

    subject: str
    lines: list[ExplainedLine]
    silent: list[str]


class JobList(BaseModel):
    """Open jobs."""

    jobs: list[JobDocument]
