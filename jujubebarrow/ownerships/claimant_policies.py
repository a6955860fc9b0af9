"""Decides which instances renew a lease so that they can claim duties."""

from hashlib import blake2b
from random import Random

from jujubebarrow.ownerships.lease_observers import LeaseObserver
from jujubebarrow.ownerships.ownership_rows import InstanceRow

SPARE_CLAIMANTS_COUNT = 4
"""Claimants beyond the number of duties, which are there to take over."""
ZONE_CLAIMANTS_COUNT = 1
"""Claimants of each availability zone that has any instance, so that any zone can be
lost or cut off."""
SURPLUS_CLAIMANTS_COUNT = 3
"""Claimants beyond the needed ones that do not leave, so that instances do not join and
leave by turns."""
FULL_CAPACITY_RATIO = 1.0
"""Pool capacity from which on an instance joins without an extra delay."""
START_SPREAD_SECONDS = 0.2
"""Time over which instances join that start together."""
LOSS_SPREAD_SECONDS = 1.0
"""Time over which instances join while less than half of the needed claimants live."""
GAP_SPREAD_SECONDS = 4.0
"""Time over which instances join while half of the needed claimants live."""
SMALL_INSTANCE_RATIO = 0.3
"""Share of that time for which instances that cannot own a busy pool leave the place to
the others."""


class ClaimantPolicy:
    """Decides whether this instance should be one of the claimants.

    Only claimants renew a lease, and only claimants own duties. The number of claimants
    depends on the number of duties and zones, so the rows that each instance reads do
    not grow with the number of instances. The owners of duties, then the largest
    instances, are preferred.

    Instances that see too few claimants join at random times, each after another look,
    because they do not know of each other.

    Args:
        identity: This instance.
        observer: Tracks the claimants that are alive.
        random: Random generator of the delays.
    """

    def __init__(self, identity: InstanceRow, observer: LeaseObserver, random: Random):
        self._identity = identity
        self._observer = observer
        self._random = random

    def is_wanted(self, duty_count: int, now: float) -> bool:
        """Return whether this instance should join the claimants."""
        return self._is_missing(duty_count, 0, now)

    def is_surplus(self, duty_count: int, now: float) -> bool:
        """Return whether this claimant should leave unless it owns a duty."""
        return not self._is_missing(duty_count, SURPLUS_CLAIMANTS_COUNT, now)

    def choose_delay(self, duty_count: int, is_starting: bool, now: float) -> float:
        """Return the seconds after which this instance should look again and join.

        Args:
            duty_count: Number of duties.
            is_starting: Whether this instance has just started.
            now: Monotonic time in seconds.
        """
        if is_starting:
            spread = START_SPREAD_SECONDS
        elif 2 * len(self._list_others(now)) < self._count_needed(duty_count):
            spread = LOSS_SPREAD_SECONDS
        else:
            spread = GAP_SPREAD_SECONDS
        share = self._random.random()
        if self._identity.pool_capacity < FULL_CAPACITY_RATIO:
            share = SMALL_INSTANCE_RATIO + (1 - SMALL_INSTANCE_RATIO) * share
        return spread * share

    def _is_missing(self, duty_count: int, surplus: int, now: float) -> bool:
        """Return whether too few claimants are preferred to this instance."""
        others = self._list_others(now)
        preferred = [row for row in others if _rank(row) < _rank(self._identity)]
        if len(preferred) < self._count_needed(duty_count) + surplus:
            return True
        in_zone = sum(row.zone == self._identity.zone for row in preferred)
        return in_zone < ZONE_CLAIMANTS_COUNT + (surplus > 0)

    def _count_needed(self, duty_count: int) -> int:
        return duty_count + SPARE_CLAIMANTS_COUNT

    def _list_others(self, now: float) -> list[InstanceRow]:
        return [
            row
            for row in self._observer.list_alive(now)
            if not row.is_stopping and row.instance != self._identity.instance
        ]


def _rank(row: InstanceRow) -> tuple[bool, float, bytes]:
    """Return the order of preference, with the preferred instance first.

    Owners of duties come first, because they remain claimants.
    """
    digest = blake2b(row.instance.encode(), digest_size=8).digest()
    return not row.owns_duties, -row.pool_capacity, digest
