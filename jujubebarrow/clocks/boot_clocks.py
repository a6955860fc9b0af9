"""Time that also passes while the machine is suspended."""

import time

from jujubebarrow.clocks.clocks import Clock


class BootClock(Clock):
    """Clock for leases: a process that was suspended sees how long."""

    def monotonic(self) -> float:
        """Return seconds since the machine was started, suspension included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()
