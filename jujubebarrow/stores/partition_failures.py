"""Partitions of the store that do not answer, whichever instance calls."""

from jujubebarrow.clocks.clocks import Clock

FAILING_SECONDS = 1.0
"""Time after a failed call in which its partition counts as failing; calls of an owner
to a partition follow each other more closely."""


class PartitionFailures:
    """Remembers partitions for which the calls of other instances fail, too.

    Failed calls to such a partition say nothing about an instance's path to the store.

    Args:
        clock: Time source.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._failing_until: dict[str, float] = {}

    def is_failing(self, partition: str) -> bool:
        """Return whether a partition has just failed for another instance."""
        return self._clock.monotonic() < self._failing_until.get(partition, 0.0)

    def record_failure(self, partition: str) -> None:
        """Record that another instance's call to a partition failed."""
        now = self._clock.monotonic()
        self._failing_until = {
            name: until for name, until in self._failing_until.items() if now < until
        }
        self._failing_until[partition] = now + FAILING_SECONDS

    def record_success(self, partition: str) -> None:
        """Record that a partition has answered."""
        self._failing_until.pop(partition, None)
