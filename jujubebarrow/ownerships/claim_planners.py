"""Chooses the duties that an instance should claim."""

from collections import Counter

from jujubebarrow.identifiers import InstanceId, ZoneId
from jujubebarrow.ownerships.lease_observers import LeaseObserver
from jujubebarrow.ownerships.ownership_rows import DutyId, DutyRow, InstanceRow
from jujubebarrow.routes.rendezvous import rank

CLAIM_STEP_POLLS_COUNT = 2
"""Polls of the owners for which an instance leaves an unowned duty to the instance
before it in the order of preference."""
ORDERED_CLAIMANTS_COUNT = 3
"""Number of instances in the order of preference that claim a duty before any other."""
UNORDERED_CLAIM_SECONDS = 2.4
"""Seconds after which any instance claims an unowned duty; longer than the instances
need to start after a power failure."""
CLAIMANT_SILENCE_SECONDS = 1.2
"""Seconds without a heartbeat after which an instance that still counts as alive is not
preferred for a duty; about two heartbeats."""
UNREAD_HOLDER_SECONDS = 2.2
"""Longest time for which a duty counts as owned although no heartbeat of its holder was
read since the claim: a lease and its margin."""
ABSTENTION_SECONDS = 10.0
"""Seconds for which an instance does not claim a duty that it has failed to serve."""
SMALLEST_CAPACITY = 0.01
"""Lowest pool capacity that is assumed, so that any instance can own a pool."""


class ClaimPlanner:
    """Distributes duties over live instances; each instance computes the same result.

    A duty goes to the instance with the lowest load relative to its capacity, then to
    the zone with the fewest duties, so that a zone that is cut off takes few owners
    with it.

    Args:
        instance: Id of this instance.
        observer: Determines which instances are alive.
    """

    def __init__(self, instance: InstanceId, observer: LeaseObserver):
        self._instance = instance
        self._observer = observer
        self._unowned_since: dict[DutyId, float] = {}
        self._abstains_until: dict[DutyId, float] = {}
        # Revision of each duty's row and the time at which it was first seen.
        self._rows_seen: dict[DutyId, tuple[int, float]] = {}

    def abstain(self, duty: DutyId, now: float) -> None:
        """Leave a duty to the other instances for some time."""
        self._abstains_until[duty] = now + ABSTENTION_SECONDS

    def is_abstaining(self, duty: DutyId, now: float) -> bool:
        """Return whether a duty is left to the other instances at present."""
        return now < self._abstains_until.get(duty, now)

    def has_successor(self, now: float) -> bool:
        """Return whether another instance may claim duties."""
        return any(row.instance != self._instance for row in self._list_claimants(now))

    def choose(
        self,
        duties: list[DutyId],
        rows: dict[DutyId, DutyRow],
        poll_period: float,
        now: float,
    ) -> list[DutyId]:
        """Return the duties that this instance should claim now.

        Returns none while the heartbeats were not read recently, because the instance
        cannot tell then which owners are alive.

        Args:
            duties: All duties that need an owner.
            rows: Row with the present owner of each duty.
            poll_period: Seconds between two polls of the owners at present.
            now: Monotonic time in seconds.
        """
        if not self._observer.is_current(now):
            return []
        unowned = [duty for duty in duties if not self.has_owner(rows.get(duty), now)]
        for duty in list(self._unowned_since):
            if duty not in unowned:
                del self._unowned_since[duty]
        claimants = self._list_claimants(now)
        load = self._count_load(rows, now)
        chosen = []
        for duty in sorted(unowned):
            since = self._unowned_since.setdefault(duty, now)
            order = _rank_claimants(duty, claimants, load)
            if order:
                load[order[0]] += 1
            wait_seconds = self._compute_wait(order, poll_period)
            if not self.is_abstaining(duty, now) and now - since >= wait_seconds:
                chosen.append(duty)
        return chosen

    def _compute_wait(self, order: list[InstanceId], poll_period: float) -> float:
        """Return how long this instance leaves an unowned duty to others in seconds."""
        if self._instance not in order[:ORDERED_CLAIMANTS_COUNT]:
            return UNORDERED_CLAIM_SECONDS
        return order.index(self._instance) * CLAIM_STEP_POLLS_COUNT * poll_period

    def has_owner(self, row: DutyRow | None, now: float) -> bool:
        """Return whether a duty has an owner that may still act under its lease."""
        if row is None or not row.holder:
            return False
        holder = self._observer.find(row.holder)
        if holder is None or holder.incarnation != row.incarnation:
            is_unread = holder is None or holder.revision < row.revision
            return is_unread and self._is_new(row, now)
        if holder.is_stopping:
            # The instance has stopped its owners, although the release of their duties
            # may not be stored.
            return False
        if self._observer.is_alive(row.holder, now):
            return True
        # The holder has confirmed the duty after the heartbeat that was last read.
        return holder.revision < row.revision and self._is_new(row, now)

    def _is_new(self, row: DutyRow, now: float) -> bool:
        """Return whether a row may be newer than the last read of the heartbeats."""
        seen = self._rows_seen.get(row.duty)
        if seen is None or seen[0] != row.revision:
            seen = (row.revision, now)
            self._rows_seen[row.duty] = seen
        return now - seen[1] <= UNREAD_HOLDER_SECONDS

    def _list_claimants(self, now: float) -> list[InstanceRow]:
        """Return the live instances that may claim duties, all else equal.

        Instances whose heartbeats are overdue are left out if any others are alive.
        """
        alive = [row for row in self._observer.list_alive(now) if not row.is_stopping]
        recent = [
            row
            for row in alive
            if self._observer.seconds_since_heartbeat(row.instance, now)
            <= CLAIMANT_SILENCE_SECONDS
        ]
        return recent or alive

    def _count_load(
        self, rows: dict[DutyId, DutyRow], now: float
    ) -> Counter[InstanceId]:
        """Return the number of duties of each instance that owns any."""
        return Counter(row.holder for row in rows.values() if self.has_owner(row, now))


def _rank_claimants(
    duty: DutyId, claimants: list[InstanceRow], load: Counter[InstanceId]
) -> list[InstanceId]:
    rows = {row.instance: row for row in claimants}
    zone_load: Counter[ZoneId] = Counter()
    for instance, row in rows.items():
        zone_load[row.zone] += load[instance]

    def measure_load(name: str) -> tuple[float, int]:
        row = rows[InstanceId(name)]
        capacity = max(row.pool_capacity, SMALLEST_CAPACITY)
        return (load[row.instance] + 1) / capacity, zone_load[row.zone]

    return [InstanceId(name) for name in sorted(rank(duty, rows), key=measure_load)]
