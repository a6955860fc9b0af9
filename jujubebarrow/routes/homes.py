"""Assignment of a home to each pool in each availability zone.

The home of a pool in a zone is the entry instance that queues and starts the
requests for the pool's upstreams in that zone.
"""

from dataclasses import dataclass

from jujubebarrow.members.peer_directories import PeerDirectory
from jujubebarrow.peers.status_messages import PoolReport
from jujubebarrow.routes.rendezvous import rank


@dataclass(frozen=True, slots=True)
class HomeCandidate:
    """Home to which a request may be forwarded.

    Attributes:
        instance: Id of the home's entry instance.
        zone: Availability zone of the home.
        wait: Expected wait at the home in seconds, including the round trip.
    """

    instance: str
    zone: str
    wait: float


class HomeDirectory:
    """Finds the homes of pools among the entry instances in service.

    Args:
        instance: Id of this instance.
        zone: Availability zone of this instance.
        directory: Directory of the peers and their status.
    """

    def __init__(self, instance: str, zone: str, directory: PeerDirectory):
        self._instance = instance
        self._zone = zone
        self._directory = directory
        self._own_ready = False
        self._members: dict[str, tuple[str, ...]] = {}
        self._homes: dict[tuple[str, str], str] = {}

    def refresh(self, own_ready: bool) -> bool:
        """Update the instances in service.

        Args:
            own_ready: Whether this instance is in service.

        Returns:
            Whether the set of instances in service has changed.
        """
        self._own_ready = own_ready
        zones: dict[str, list[str]] = {}
        if own_ready:
            zones.setdefault(self._zone, []).append(self._instance)
        for record in self._directory.alive():
            status = record.status
            if status.ready and not status.leaving:
                zones.setdefault(status.zone, []).append(status.instance)
        members = {zone: tuple(sorted(names)) for zone, names in zones.items()}
        if members == self._members:
            return False
        self._members = members
        self._homes.clear()
        return True

    def home(self, pool: str, zone: str) -> str | None:
        """Return the home of a pool in a zone, or None if the zone has none."""
        key = (pool, zone)
        if key not in self._homes:
            members = self._members.get(zone, ())
            if not members:
                return None
            self._homes[key] = rank(pool, members)[0]
        return self._homes[key]

    def is_home(self, pool: str) -> bool:
        """Return whether this instance is the pool's home in its zone."""
        return self.home(pool, self._zone) == self._instance

    def candidates(self, pool: str) -> list[HomeCandidate]:
        """Return the homes of a pool, the own zone first, then by expected wait."""
        own_home = self.home(pool, self._zone)
        found = (
            [HomeCandidate(own_home, self._zone, 0.0)] if own_home is not None else []
        )
        others = [
            candidate
            for zone in self._members
            if zone != self._zone
            and (candidate := self._remote_candidate(pool, zone)) is not None
        ]
        others.sort(key=lambda candidate: candidate.wait)
        return found + others

    def _remote_candidate(self, pool: str, zone: str) -> HomeCandidate | None:
        instance = self.home(pool, zone)
        record = self._directory.get(instance) if instance else None
        if instance is None or record is None:
            return None
        report: PoolReport | None = record.pools.get(pool)
        if report is None or report.slots == 0:
            return None
        wait = report.wait if report.free_slots == 0 else 0.0
        return HomeCandidate(instance, zone, wait + record.round_trip)
