"""Determines which instances are alive from the heartbeats in the store."""

from jujubebarrow.identifiers import InstanceId
from jujubebarrow.ownerships.ownership_rows import InstanceRow

READ_GAP_SECONDS = 1.5
"""Seconds without a read of the store that count as a gap, after which live instances
may still have to write the heartbeats that they could not write meanwhile."""
GAP_GRACE_SECONDS = 1.0
"""Least time from the end of a gap until a lease counts as expired: the timeout of a
heartbeat that was sent during the gap, and the delay of its repetition."""
EXPIRY_MARGIN_SECONDS = 0.2
"""Seconds added to a lease before it counts as expired, to allow for rounding and for
timer inaccuracy."""


class LeaseObserver:
    """Records the time at which each heartbeat was first seen.

    The observer counts a lease from the time at which the heartbeat was first seen. The
    holder counts the same lease from an earlier time and therefore stops first. Only
    time up to the latest read counts, since heartbeats may have been written after it.

    Args:
        lease: Length of a lease in seconds.
    """

    def __init__(self, lease: float):
        self._lease = lease
        self._seen: dict[InstanceId, tuple[InstanceRow, float]] = {}
        self._read_at: float | None = None

    def observe(self, rows: list[InstanceRow], now: float) -> None:
        """Record a read of the store.

        Args:
            rows: Heartbeats that the read returned; may be empty or contain heartbeats
                that were seen before.
            now: Monotonic time in seconds.
        """
        if self._read_at is None or now - self._read_at > READ_GAP_SECONDS:
            earliest = now - self._lease - EXPIRY_MARGIN_SECONDS + GAP_GRACE_SECONDS
            self._seen = {
                name: (row, max(seen_at, earliest))
                for name, (row, seen_at) in self._seen.items()
            }
        self._read_at = now
        for row in rows:
            previous = self._seen.get(row.instance)
            if previous is None or previous[0].revision < row.revision:
                self._seen[row.instance] = (row, now)

    def find(self, instance: InstanceId) -> InstanceRow | None:
        """Return an instance's latest heartbeat."""
        seen = self._seen.get(instance)
        return seen[0] if seen else None

    def is_alive(self, instance: InstanceId, now: float) -> bool:
        """Return whether an instance's lease may still be valid."""
        silence = self.seconds_since_heartbeat(instance, now)
        return silence <= self._lease + EXPIRY_MARGIN_SECONDS

    def is_current(self, now: float) -> bool:
        """Return whether the heartbeats were read recently enough to claim duties."""
        return self._read_at is not None and now - self._read_at <= READ_GAP_SECONDS

    def seconds_since_heartbeat(self, instance: InstanceId, now: float) -> float:
        """Return the seconds between an instance's latest heartbeat and the last read.

        Returns infinity if no heartbeat of the instance was seen. A gap between two
        reads of the store counts only as far as the instance has GAP_GRACE_SECONDS left
        after the gap.
        """
        seen = self._seen.get(instance)
        if seen is None or self._read_at is None:
            return float("inf")
        return min(now, self._read_at) - seen[1]

    def list_alive(self, now: float) -> list[InstanceRow]:
        """Return the live instances, sorted by id."""
        rows = [seen[0] for seen in self._seen.values()]
        rows = [row for row in rows if self.is_alive(row.instance, now)]
        return sorted(rows, key=lambda row: row.instance)
