"""Times that several instances can compare, by the store's steady clock."""

from jujubebarrow.clocks.clocks import Clock


class StoreClock:
    """Converts between this process's clock and the store's.

    The store reads its clock between a question and its answer; both conversions
    err towards later times.

    Args:
        clock: This process's time source.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._least_offset = 0.0
        self._greatest_offset = 0.0

    def note(self, sent_at: float, reading: float) -> None:
        """Take over a reading of the store's clock that has just arrived.

        Args:
            sent_at: Time in seconds at which the question left.
            reading: Reading in seconds.
        """
        self._least_offset = reading - self._clock.monotonic()
        self._greatest_offset = reading - sent_at

    def to_stored(self, time: float) -> float:
        """Return a time of this process by the store's clock."""
        return round(time + self._greatest_offset, 3)

    def to_local(self, stored: float) -> float:
        """Return a time of the store's clock by this process's clock."""
        return stored - self._least_offset
