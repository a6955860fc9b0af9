"""Estimate of what waits on an instance's network link."""

from jujubebarrow.clocks.clocks import Clock

BYTES_PER_MEGABIT = 125_000
LONGEST_WAIT_SECONDS = 1.0
"""Longest wait on the link that is assumed: the timeout of nearly all calls, after
which a message that still waits is dropped with its connection."""
USABLE_SHARE = 0.9
"""Share of the nominal rate that messages get; packet headers take the rest."""


class LinkBacklog:
    """Estimates how long a message would wait behind those sent before.

    Messages leave the link at its usable rate, one after the other. Times are in
    seconds.

    Args:
        link_mbps: Nominal rate of the link in Mbit/s.
        clock: Time source.
    """

    def __init__(self, link_mbps: float, clock: Clock):
        self._rate = link_mbps * BYTES_PER_MEGABIT * USABLE_SHARE
        self._clock = clock
        self._is_free_at = float("-inf")

    @property
    def wait_seconds(self) -> float:
        """Time that a message sent now would wait on the link."""
        return max(0.0, self._is_free_at - self._clock.monotonic())

    def compute_transfer_seconds(self, size_bytes: float) -> float:
        """Return how long the link takes for a number of bytes."""
        return size_bytes / self._rate

    def count_transfers(self, seconds: float, size_bytes: float) -> float:
        """Return how many messages of a size the link carries in a time."""
        return seconds * self._rate / size_bytes

    def add(self, size_bytes: float) -> None:
        """Record a message that is sent now."""
        now = self._clock.monotonic()
        is_free_at = max(self._is_free_at, now) + size_bytes / self._rate
        self._is_free_at = min(is_free_at, now + LONGEST_WAIT_SECONDS)
