"""Recent decisions, for operators."""

from collections import deque
from typing import NamedTuple

from jujubebarrow.clocks.clocks import Clock

HISTORY_LENGTH = 4000


class Explanation(NamedTuple):
    """Decision on one subject.

    Attributes:
        time: Seconds since the epoch.
        subject: Request, instance, team, pool or preset.
        sentence: What was decided and why.
    """

    time: float
    subject: str
    sentence: str


class ExplanationLog:
    """Keeps the last decisions in memory.

    Args:
        clock: Time source.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._entries: deque[Explanation] = deque(maxlen=HISTORY_LENGTH)

    def add(self, subject: str, sentence: str) -> None:
        """Record a decision."""
        self._entries.append(Explanation(self._clock.wall(), subject, sentence))

    def find(self, subject: str) -> list[Explanation]:
        """Return the decisions on a subject, oldest first."""
        return [entry for entry in self._entries if entry.subject == subject]
