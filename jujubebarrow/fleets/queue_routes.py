"""Routes of queues from a host and path to a pool."""

from dataclasses import dataclass

from jujubebarrow.fleets.advice_options import AdviceOptions
from jujubebarrow.identifiers import PoolId, QueueId


@dataclass(frozen=True, slots=True, kw_only=True)
class QueueRoute:
    """Route of one queue.

    Attributes:
        queue: Id of the queue.
        host: Host name that callers send requests to.
        prefix: Prefix of the requests' path; ends with a slash.
        pool: Pool whose workers run the queue's tasks.
        is_open: Whether callers need no key.
        target: Fixed part of a job's objective, in seconds.
        stretch: Factor of the other part of the objective, which is the estimated
            duration of the job's longest chain of steps.
        attempts: Number of failed runs of a task after which its job fails.
        priority: Priority of the queue; 0 is the highest.
        timeout: Maximum response time in seconds.
        advice: Timing of the placement advice; None if the queue needs no advice, so
            that any worker may run its steps.
    """

    queue: QueueId
    host: str
    prefix: str
    pool: PoolId
    is_open: bool = False
    target: float = 0.0
    stretch: float = 1.0
    attempts: int = 1
    priority: int = 0
    timeout: float = 0.0
    advice: AdviceOptions | None = None
