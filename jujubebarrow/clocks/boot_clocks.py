"""Clock that includes the time during which the machine is suspended."""

import time

from jujubebarrow.clocks.clocks import Clock


class BootClock(Clock):
    """Clock for leases, whose monotonic time includes suspension of the machine.

    A process that was suspended thus sees how long the suspension lasted.
    """

    def monotonic(self) -> float:
        """Return seconds since the machine booted, including suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()
