"""Time in which the other instances reached the store."""

from jujubebarrow.identifiers import IncarnationId, InstanceId
from jujubebarrow.ownerships.lease_observers import LeaseObserver


class PeerProgress:
    """Measures how long other instances have renewed their leases.

    Each heartbeat contains the number of renewals of its instance. Unlike the time of
    this instance's own clock, that number does not increase while the store is
    unavailable to all instances, and it increases while the store is unavailable only
    to this instance.

    Args:
        instance: Id of this instance.
        observer: Source of the heartbeats.
        renewal_period: Seconds between two renewals of a lease.
    """

    def __init__(
        self, instance: InstanceId, observer: LeaseObserver, renewal_period: float
    ):
        self._instance = instance
        self._observer = observer
        self._renewal_period = renewal_period
        self._measured_at = float("-inf")
        self._renewals: dict[tuple[InstanceId, IncarnationId], int] = {}

    def measure(self, now: float) -> float:
        """Return the seconds since the last measurement in which others could serve.

        This is the median of the other live instances.

        Args:
            now: Monotonic time in seconds.
        """
        renewals = {
            (row.instance, row.incarnation): row.renewal_count
            for row in self._observer.list_alive(now)
            if row.instance != self._instance and not row.is_stopping
        }
        counts = sorted(
            count - self._renewals[name]
            for name, count in renewals.items()
            if name in self._renewals
        )
        median = counts[len(counts) // 2] if counts else 0
        seconds = min(median * self._renewal_period, now - self._measured_at)
        self._renewals = renewals
        self._measured_at = now
        return seconds
