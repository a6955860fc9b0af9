"""Clock of the operating system."""

import time

from jujubebarrow.clocks.clocks import Clock


class SystemClock(Clock):
    """Clock that reads the time of the operating system."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; the value never decreases."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()
