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
        deadline: Monotonic time by which the response is due, in seconds.
        cores: Number of processor cores that the request needs on one instance.
        failed_upstreams: Upstreams that were unreachable, returned no complete response
            or returned a server error. An upstream that refused the request is not
            included, since the upstream may accept the request later.
        not_started_count: Number of attempts that no upstream started, because the
            upstream refused the request or was unreachable.
        broken_off_count: Number of attempts whose connection broke after the start.
        possible_start_count: Number of attempts that an upstream may have started.
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
    failed_upstreams: set[UpstreamId] = field(default_factory=set)
    not_started_count: int = 0
    possible_start_count: int = 0
    broken_off_count: int = 0
