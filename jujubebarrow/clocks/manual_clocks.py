"""Time that moves only when told to."""

from jujubebarrow.clocks.clocks import Clock


class ManualClock(Clock):
    """Clock for simulations and tests.

    Args:
        start: First reading, in seconds.
    """

    def __init__(self, start: float = 1_000.0):
        self._now = start

    def monotonic(self) -> float:
        """Return the current reading in seconds."""
        return self._now

    def wall(self) -> float:
        """Return the current reading in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move time forward by a number of seconds."""
        self._now += seconds
