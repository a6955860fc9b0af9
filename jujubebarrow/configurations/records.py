"""Records that operators change, one row of the platform's table each."""

from enum import Enum
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from jujubebarrow.configurations.instance_states import InstanceState
from jujubebarrow.configurations.record_kinds import RecordKind

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]


class Priority(Enum):
    """Order in which queues of a pool are served."""

    INTERACTIVE = "interactive"
    OVERNIGHT = "overnight"


class KeyState(Enum):
    """Whether a key opens its team's queues."""

    GRANTED = "granted"
    WITHDRAWN = "withdrawn"


class MoveCause(Enum):
    """Why an instance is being drained."""

    NONE = "none"
    MAINTENANCE = "maintenance"
    MOVE = "move"
    OPERATOR = "operator"


class Record(BaseModel):
    """Base of all records."""

    model_config = ConfigDict(extra="forbid", frozen=True)


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


class Queue(Record):
    """Kind of request and the pool that runs it.

    Attributes:
        pool: Pool that runs the requests.
        open: Whether requests need no key.
        idempotent: Whether a request may run more than once.
        teams: Teams that may use the queue; all if empty.
        priority: Order among the queues of a pool.
        run_time: First guess of the run time, in seconds.
        cores: Processor cores that a request needs on one instance.
    """

    pool: Name
    open: bool = False
    idempotent: bool = True
    teams: list[Name] = []
    priority: Priority = Priority.INTERACTIVE
    run_time: float = Field(0.1, gt=0)
    cores: int = Field(1, ge=1)


class Team(Record):
    """Customer with a share and an upper limit.

    Attributes:
        share: Weight when a pool is full.
        limit: Most requests running at a time, fleet-wide.
    """

    share: float = Field(1.0, gt=0)
    limit: int = Field(8, ge=0)


class Key(Record):
    """Key of a team, named by its digest."""

    team: Name
    state: KeyState = KeyState.GRANTED


class Preset(Record):
    """Settings of the fleet for a kind of day.

    Attributes:
        sizes: Instances wanted in each pool.
        maintenance: Whether maintenance may take instances.
        moves: Whether control may move instances by demand.
    """

    sizes: dict[Name, int] = {}
    maintenance: bool = False
    moves: bool = True


class Selection(Record):
    """Preset in force."""

    preset: Name


class Maintenance(Record):
    """Maintenance wave over the instances of some pools.

    Attributes:
        pools: Pools to maintain; all if empty.
        started: Start of the wave, in seconds since the epoch.
        paused: Whether the wave takes no further instance.
        failure_limit: Failed instances at which the wave pauses.
    """

    pools: list[Name] = []
    started: float
    paused: bool = False
    failure_limit: int = Field(2, ge=1)


class Budget(Record):
    """Instances of a pool that are out of service.

    It changes in the transaction that takes an instance out or back, so that
    racing writers cannot exceed the pool's limit together.
    """

    unavailable: list[Name] = []


class Instance(Record):
    """Instance of the fleet; its pool is exactly one.

    Attributes:
        pool: Pool that it belongs to.
        zone: Availability zone.
        rack: Rack, its failure domain.
        address: IP and port of its task interface.
        slots: Tasks that it runs at a time.
        cores: Processor cores.
        accelerators: Accelerators.
        state: State in the fleet.
        cause: Why it is being drained.
        target: Pool that it moves to after draining.
        maintained: End of its last maintenance, in seconds since the epoch.
        moved: End of its last move, in seconds since the epoch.
        reason: Sentence for operators on the last change.
    """

    pool: Name
    zone: Name
    rack: Name
    address: str = Field(pattern=r"^[0-9a-fA-F.:\[\]]+:\d{1,5}$")
    slots: int = Field(8, ge=1)
    cores: int = Field(32, ge=1)
    accelerators: int = Field(0, ge=0)
    state: InstanceState = InstanceState.SERVING
    cause: MoveCause = MoveCause.NONE
    target: Name | None = None
    maintained: float = 0.0
    moved: float = 0.0
    reason: str = ""


RECORD_TYPES: dict[RecordKind, type[Record]] = {
    RecordKind.POOL: Pool,
    RecordKind.QUEUE: Queue,
    RecordKind.TEAM: Team,
    RecordKind.KEY: Key,
    RecordKind.PRESET: Preset,
    RecordKind.SELECTION: Selection,
    RecordKind.INSTANCE: Instance,
    RecordKind.MAINTENANCE: Maintenance,
    RecordKind.BUDGET: Budget,
}
