"""Conversion between local times and store times, which all instances can compare."""

from jujubebarrow.clocks.clocks import Clock


class StoreClock:
    """Converts between the monotonic clocks of this process and of the store.

    The store reads its clock at an unknown moment between a request and the response.
    The offset between the clocks is therefore known only as a range. A conversion uses
    the end of the range that gives the later time, unless its name says otherwise.

    Args:
        clock: Monotonic clock of this process.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._minimum_offset = 0.0
        self._maximum_offset = 0.0

    def record_store_time(self, sent_at: float, store_time: float) -> None:
        """Update the clock offsets from a store time that has just been received.

        Args:
            sent_at: Local time in seconds at which the request was sent.
            store_time: Store time in seconds from the response.
        """
        self._minimum_offset = store_time - self._clock.monotonic()
        self._maximum_offset = store_time - sent_at

    def to_store_time(self, local_time: float) -> float:
        """Convert a local time to the store's clock."""
        return round(local_time + self._maximum_offset, 3)

    def to_earliest_store_time(self, local_time: float) -> float:
        """Convert a local time to the store's clock, at the earliest end of the range.

        The result is never later than the true store time.
        """
        return local_time + self._minimum_offset

    def to_local_time(self, store_time: float) -> float:
        """Convert a time of the store's clock to local time."""
        return store_time - self._minimum_offset
