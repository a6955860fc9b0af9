"""Clock that advances only by explicit calls."""

from jujubebarrow.clocks.clocks import Clock


class ManualClock(Clock):
    """Clock for simulations and tests, advanced by calls of ``advance``.

    Args:
        start: Initial time, in seconds.
    """

    def __init__(self, start: float = 1_000.0):
        self._now = start

    def monotonic(self) -> float:
        """Return the current time in seconds."""
        return self._now

    def wall(self) -> float:
        """Return the current time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Advance the time by a number of seconds."""
        self._now += seconds
