"""Time in which instances reached the store."""

from jujubebarrow.identifiers import IncarnationId, InstanceId
from jujubebarrow.ownerships.lease_observers import LeaseObserver


class PeerProgress:
    """Measures how long the instances have renewed their leases.

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
        self._own_count = 0
        self._renewals: dict[tuple[InstanceId, IncarnationId], int] = {}

    def measure(self, now: float, own_count: int) -> float:
        """Return the seconds since the last measurement in which others could serve.

        This is the median of the other live instances; or the time of this instance if
        that is longer, since it may not read the heartbeats of the others.

        Args:
            now: Monotonic time in seconds.
            own_count: Number of renewals by this instance.
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
        count = max(median, own_count - self._own_count)
        seconds = min(count * self._renewal_period, now - self._measured_at)
        self._renewals = renewals
        self._own_count = own_count
        self._measured_at = now
        return seconds
