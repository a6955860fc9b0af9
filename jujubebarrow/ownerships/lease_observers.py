"""Which instances are alive, from the heartbeats in the store."""

from jujubebarrow.identifiers import InstanceId
from jujubebarrow.ownerships.holders import InstanceRow

GAP = 1.5
"""Seconds without a read of the store after which observations begin anew."""
MARGIN = 0.2
"""Seconds added to a lease before it is taken as over, for rounding and timers."""


class LeaseObserver:
    """Notes since when each heartbeat has not changed.

    A lease counts from the moment at which its heartbeat was seen, which is later
    than the moment from which its holder counts it.

    Args:
        lease: Length of a lease in seconds.
    """

    def __init__(self, lease: float):
        self._lease = lease
        self._seen: dict[InstanceId, tuple[InstanceRow, float]] = {}
        self._read_at: float | None = None

    def observe(self, rows: list[InstanceRow], now: float) -> None:
        """Take over the heartbeats that have changed, perhaps none."""
        if self._read_at is None or now - self._read_at > GAP:
            self._seen = {name: (seen[0], now) for name, seen in self._seen.items()}
        self._read_at = now
        for row in rows:
            former = self._seen.get(row.instance)
            if former is None or former[0].revision < row.revision:
                self._seen[row.instance] = (row, now)

    def find(self, instance: InstanceId) -> InstanceRow | None:
        """Return an instance's newest heartbeat."""
        seen = self._seen.get(instance)
        return seen[0] if seen else None

    def is_alive(self, instance: InstanceId, now: float) -> bool:
        """Return whether an instance's lease may still run."""
        seen = self._seen.get(instance)
        return seen is not None and now - seen[1] <= self._lease + MARGIN

    def silence(self, instance: InstanceId, now: float) -> float:
        """Return the seconds since an instance's heartbeat was first seen."""
        seen = self._seen.get(instance)
        return now - seen[1] if seen else float("inf")

    def alive(self, now: float) -> list[InstanceRow]:
        """Return the instances whose lease may still run, by name."""
        rows = [seen[0] for seen in self._seen.values()]
        rows = [row for row in rows if self.is_alive(row.instance, now)]
        return sorted(rows, key=lambda row: row.instance)
