"""Which duties an instance should claim or hand over."""

from collections import Counter

from jujubebarrow.identifiers import InstanceId
from jujubebarrow.ownerships.holders import DutyId, DutyRow
from jujubebarrow.ownerships.lease_observers import LeaseObserver
from jujubebarrow.routes.rendezvous import rank

PATIENCE = 1.5
"""Seconds after which any instance claims what the chosen one has not."""


class ClaimPlanner:
    """Spreads duties over live instances, the same way on each of them.

    Args:
        instance: This instance.
        observer: Which instances are alive.
    """

    def __init__(self, instance: InstanceId, observer: LeaseObserver):
        self._instance = instance
        self._observer = observer
        self._free_since: dict[DutyId, float] = {}

    def choose(
        self, duties: list[DutyId], rows: dict[DutyId, DutyRow], now: float
    ) -> list[DutyId]:
        """Return the duties that this instance should claim now.

        Args:
            duties: All duties there should be.
            rows: Present owners.
            now: Time in seconds.
        """
        free = [duty for duty in duties if not self.is_held(rows.get(duty), now)]
        for duty in list(self._free_since):
            if duty not in free:
                del self._free_since[duty]
        load = self.count_load(rows, now)
        chosen = []
        for duty in sorted(free):
            since = self._free_since.setdefault(duty, now)
            best = _choose_least_loaded(duty, load)
            if best is not None:
                load[best] += 1
            if best == self._instance or now - since > PATIENCE:
                chosen.append(duty)
        return chosen

    def is_held(self, row: DutyRow | None, now: float) -> bool:
        """Return whether a duty's owner may still act."""
        if row is None or not row.holder:
            return False
        holder = self._observer.find(row.holder)
        if holder is None or holder.incarnation != row.incarnation:
            return False
        return self._observer.is_alive(row.holder, now)

    def count_load(
        self, rows: dict[DutyId, DutyRow], now: float
    ) -> Counter[InstanceId]:
        """Return how many duties each live instance that stays owns."""
        alive = [row for row in self._observer.alive(now) if not row.is_stopping]
        load = Counter({row.instance: 0 for row in alive})
        for row in rows.values():
            if row.holder in load and self.is_held(row, now):
                load[row.holder] += 1
        return load


def _choose_least_loaded(duty: DutyId, load: Counter[InstanceId]) -> InstanceId | None:
    preferred = rank(duty, load)
    return min(preferred, key=lambda name: load[InstanceId(name)], default=None)
