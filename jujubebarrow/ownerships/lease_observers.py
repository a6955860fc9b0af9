"""Determines which instances are alive from the heartbeats in the store."""

from dataclasses import dataclass, replace

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


@dataclass(frozen=True, slots=True)
class _Sighting:
    """Latest heartbeat of an instance.

    Attributes:
        row: Heartbeat.
        at: Local time in seconds from which the silence counts: when the heartbeat was
            sent if that is known, else when it was first read.
    """

    row: InstanceRow
    at: float


class LeaseObserver:
    """Tracks for how long each instance has been silent.

    The silence counts from a time at or after the sending of the heartbeat, and the
    holder counts its lease from the sending, so that the holder stops first. Only time
    up to the latest read counts, since heartbeats may have been written after it.

    Args:
        lease: Length of a lease in seconds.
    """

    def __init__(self, lease: float):
        self._longest_silence = lease + EXPIRY_MARGIN_SECONDS
        self._seen: dict[InstanceId, _Sighting] = {}
        self._read_at: float | None = None

    def observe(
        self,
        rows: list[InstanceRow],
        now: float,
        sent_times: dict[int, float] | None = None,
    ) -> None:
        """Record a read of the store.

        Args:
            rows: Heartbeats that the read returned; may be empty or contain heartbeats
                that were seen before.
            now: Monotonic time in seconds.
            sent_times: Monotonic time in seconds at which the heartbeats were sent, by
                their revisions, never too early, as far as known.
        """
        if self._read_at is None or now - self._read_at > READ_GAP_SECONDS:
            self._seen = {
                name: self._add_grace(sighting, now)
                for name, sighting in self._seen.items()
            }
        self._read_at = now
        for row in rows:
            previous = self._seen.get(row.instance)
            if row.is_blocked:
                continue
            if previous is not None and not _is_newer(row, previous.row):
                continue
            sent_at = (sent_times or {}).get(row.revision)
            at = now if sent_at is None else min(now, sent_at)
            self._seen[row.instance] = _Sighting(row, at)

    def forget(self, instance: InstanceId, revision: int) -> None:
        """Record that an instance has deleted its heartbeat.

        Args:
            instance: Instance that owns no duty and renews no lease any more.
            revision: Revision of the deletion.
        """
        seen = self._seen.get(instance)
        if seen is not None and seen.row.revision < revision:
            del self._seen[instance]

    def record_revocation(self, row: InstanceRow) -> None:
        """Record that a lease was revoked.

        Args:
            row: Heartbeat as written by the revocation.
        """
        seen = self._seen.get(row.instance)
        if seen is not None and seen.row.revision < row.revision:
            self._seen[row.instance] = replace(seen, row=row)

    def _add_grace(self, sighting: _Sighting, now: float) -> _Sighting:
        """Return a sighting whose lease is valid for the grace after a gap."""
        earliest = now - self._longest_silence + GAP_GRACE_SECONDS
        return replace(sighting, at=max(sighting.at, earliest))

    def find(self, instance: InstanceId) -> InstanceRow | None:
        """Return an instance's latest heartbeat."""
        seen = self._seen.get(instance)
        return seen.row if seen else None

    def is_alive(self, instance: InstanceId, now: float) -> bool:
        """Return whether an instance's lease may still be valid and be renewed."""
        seen = self._seen.get(instance)
        if seen is None or seen.row.is_revoked:
            return False
        silence = self.seconds_since_heartbeat(instance, now)
        return silence <= self._longest_silence

    def find_revoked_leases_end(self) -> float:
        """Return the local time in seconds at which all revoked leases have ended.

        Returns minus infinity if no lease is revoked.
        """
        ends = [
            seen.at + self._longest_silence
            for seen in self._seen.values()
            if seen.row.is_revoked
        ]
        return max(ends, default=float("-inf"))

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
        return min(now, self._read_at) - seen.at

    def list_silent(self, seconds: float, now: float) -> list[InstanceRow]:
        """Return the instances that have been silent for longer than a time."""
        return [
            seen.row
            for name, seen in self._seen.items()
            if self.seconds_since_heartbeat(name, now) > seconds
        ]

    def list_alive(self, now: float) -> list[InstanceRow]:
        """Return the live instances, sorted by id."""
        rows = [seen.row for seen in self._seen.values()]
        rows = [row for row in rows if self.is_alive(row.instance, now)]
        return sorted(rows, key=lambda row: row.instance)


def _is_newer(row: InstanceRow, seen: InstanceRow) -> bool:
    """Return whether a heartbeat tells something new.

    A heartbeat in one partition may be stored after a later one in the other partition.
    """
    if row.revision <= seen.revision:
        return False
    if row.incarnation != seen.incarnation:
        return True
    return row.sent_at is None or seen.sent_at is None or row.sent_at >= seen.sent_at
