"""Recent decisions and their reasons, which operators can query."""

from collections import deque
from typing import NamedTuple

from jujubebarrow.clocks.clocks import Clock

EXPLANATION_LIMIT = 4000


class Explanation(NamedTuple):
    """Decision on one subject and the decision's reason.

    Attributes:
        time: Time of the decision in seconds since the epoch.
        subject: Id of the request, instance, team, pool or preset.
        sentence: Sentence that states the decision and its reason.
    """

    time: float
    subject: str
    sentence: str


class ExplanationLog:
    """Keeps the most recent decisions in memory.

    Args:
        clock: Time source.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._entries: deque[Explanation] = deque(maxlen=EXPLANATION_LIMIT)

    def add(self, subject: str, sentence: str) -> None:
        """Record a decision."""
        self._entries.append(Explanation(self._clock.wall(), subject, sentence))

    def find(self, subject: str) -> list[Explanation]:
        """Return the decisions on a subject, oldest first."""
        return [entry for entry in self._entries if entry.subject == subject]
