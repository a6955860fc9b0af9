"""Time from the operating system."""

import time

from jujubebarrow.clocks.clocks import Clock


class SystemClock(Clock):
    """Clock that reads the operating system's time."""

    def monotonic(self) -> float:
        """Return seconds from an arbitrary start that never go back."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()
