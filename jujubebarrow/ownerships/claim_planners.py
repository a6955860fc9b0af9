"""Chooses the duties that an instance should claim."""

from collections import Counter

from jujubebarrow.identifiers import InstanceId
from jujubebarrow.ownerships.lease_observers import LeaseObserver
from jujubebarrow.ownerships.ownership_rows import DutyId, DutyRow
from jujubebarrow.routes.rendezvous import rank

CLAIM_GRACE_SECONDS = 1.5
"""Seconds after which any instance claims a duty that the preferred instance has not
claimed."""


class ClaimPlanner:
    """Distributes duties over live instances; each instance computes the same result.

    Args:
        instance: Id of this instance.
        observer: Determines which instances are alive.
    """

    def __init__(self, instance: InstanceId, observer: LeaseObserver):
        self._instance = instance
        self._observer = observer
        self._unowned_since: dict[DutyId, float] = {}

    def choose(
        self, duties: list[DutyId], rows: dict[DutyId, DutyRow], now: float
    ) -> list[DutyId]:
        """Return the duties that this instance should claim now.

        Returns none while the heartbeats were not read recently, because the instance
        cannot tell then which owners are alive.

        Args:
            duties: All duties that need an owner.
            rows: Row with the present owner of each duty.
            now: Monotonic time in seconds.
        """
        if not self._observer.is_current(now):
            return []
        unowned = [duty for duty in duties if not self.has_owner(rows.get(duty), now)]
        for duty in list(self._unowned_since):
            if duty not in unowned:
                del self._unowned_since[duty]
        load = self.count_load(rows, now)
        chosen = []
        for duty in sorted(unowned):
            since = self._unowned_since.setdefault(duty, now)
            preferred = _choose_least_loaded(duty, load)
            if preferred is not None:
                load[preferred] += 1
            if preferred == self._instance or now - since > CLAIM_GRACE_SECONDS:
                chosen.append(duty)
        return chosen

    def has_owner(self, row: DutyRow | None, now: float) -> bool:
        """Return whether a duty has an owner that may still act under its lease."""
        if row is None or not row.holder:
            return False
        holder = self._observer.find(row.holder)
        if holder is None or holder.incarnation != row.incarnation:
            return False
        return self._observer.is_alive(row.holder, now)

    def count_load(
        self, rows: dict[DutyId, DutyRow], now: float
    ) -> Counter[InstanceId]:
        """Return the number of duties of each live instance that is not stopping."""
        claimants = [
            row for row in self._observer.list_alive(now) if not row.is_stopping
        ]
        load = Counter({row.instance: 0 for row in claimants})
        for row in rows.values():
            if row.holder in load and self.has_owner(row, now):
                load[row.holder] += 1
        return load


def _choose_least_loaded(duty: DutyId, load: Counter[InstanceId]) -> InstanceId | None:
    ranked = rank(duty, load)
    return min(ranked, key=lambda name: load[InstanceId(name)], default=None)
