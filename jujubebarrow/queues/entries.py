"""Request that waits at its home instance."""

from dataclasses import dataclass, field

from jujubebarrow.configurations.priorities import Priority
from jujubebarrow.identifiers import (
    KeyDigest,
    PoolId,
    QueueId,
    RequestId,
    TeamId,
    UpstreamId,
)


@dataclass(slots=True, eq=False)
class Entry:
    """Request in a pool's queues.

    Attributes:
        request: Request id.
        pool: Pool that runs it.
        queue: Queue that it came through.
        team: Team of its key; empty on open queues.
        key: Digest of its key; empty on open queues.
        priority: Order among the queues of the pool.
        idempotent: Whether it may be sent more than once.
        arrived: Monotonic time of arrival in seconds.
        deadline: Monotonic time by which an answer is wanted, in seconds.
        cores: Processor cores that it needs on one instance.
        tried: Upstreams that refused or failed it.
        refusals: Times that an upstream refused to start it.
        sends: Times that bytes of it may have left for an upstream.
    """

    request: RequestId
    pool: PoolId
    queue: QueueId
    team: TeamId
    key: KeyDigest
    priority: Priority
    idempotent: bool
    arrived: float
    deadline: float
    cores: int = 1
    tried: set[UpstreamId] = field(default_factory=set)
    refusals: int = 0
    sends: int = 0
