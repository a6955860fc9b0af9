"""Request that waits at its home."""

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
    """Waiting request in a pool's queues.

    Attributes:
        request: Id of the request.
        pool: Pool that runs the request.
        queue: Queue to which the request was sent.
        team: Team that owns the request's key; empty on open queues.
        key: Digest of the request's key; empty on open queues.
        priority: Priority among the queues of the pool.
        idempotent: Whether the request may be sent to an upstream more than once.
        arrived: Monotonic time of arrival in seconds.
        deadline: Monotonic time by which the answer is due, in seconds.
        cores: Number of processor cores that the request needs on one instance.
        tried: Upstreams that refused the request or failed to answer it.
        refusals: Number of times an upstream refused to start the request.
        sends: Number of attempts that may have sent bytes to an upstream.
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
