"""Where a queue's callers arrive and where its jobs run."""

from dataclasses import dataclass

from jujubebarrow.fleets.advice_terms import AdviceTerms
from jujubebarrow.identifiers import PoolId, QueueId


@dataclass(frozen=True, slots=True, kw_only=True)
class QueueRoute:
    """Route of one queue.

    Attributes:
        queue: Queue.
        host: Host that callers name.
        prefix: Beginning of the path, ends with a slash.
        pool: Pool whose workers run the queue's tasks.
        is_open: Whether callers need no key.
        target: Time in seconds granted on top of a job's work.
        stretch: Factor of a job's longest chain of work within its objective.
        attempts: Failed runs of a task after which its job has failed.
        priority: 0 comes first.
        timeout: Longest time in seconds for an answer.
        advice: Terms of the placement advice; None if any worker may run a step.
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
    advice: AdviceTerms | None = None
