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
    """Home that may run a request.

    Attributes:
        instance: Id of the home's entry instance.
        zone: Availability zone of the home.
        wait: Expected wait at the home in seconds, including the round trip; 0 for the
            home in this instance's zone.
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
        self._is_ready = False
        self._ready_instances: dict[str, tuple[str, ...]] = {}
        self._homes: dict[tuple[str, str], str] = {}

    def refresh(self, is_ready: bool) -> bool:
        """Update the set of instances that can be homes.

        Args:
            is_ready: Whether this instance is ready for requests.

        Returns:
            Whether the set has changed.
        """
        self._is_ready = is_ready
        zones: dict[str, list[str]] = {}
        if is_ready:
            zones.setdefault(self._zone, []).append(self._instance)
        for record in self._directory.responsive_records():
            status = record.status
            if status.ready and not status.leaving:
                zones.setdefault(status.zone, []).append(status.instance)
        ready_instances = {zone: tuple(sorted(names)) for zone, names in zones.items()}
        if ready_instances == self._ready_instances:
            return False
        self._ready_instances = ready_instances
        self._homes.clear()
        return True

    def home(self, pool: str, zone: str) -> str | None:
        """Return the home of a pool in a zone, or None if the zone has none."""
        key = (pool, zone)
        if key not in self._homes:
            instances = self._ready_instances.get(zone, ())
            if not instances:
                return None
            self._homes[key] = rank(pool, instances)[0]
        return self._homes[key]

    def is_home(self, pool: str) -> bool:
        """Return whether this instance is the pool's home in its zone."""
        return self.home(pool, self._zone) == self._instance

    def candidates(self, pool: str) -> list[HomeCandidate]:
        """Return the homes of a pool that may run a request, in order of preference.

        The home in this instance's zone comes first, the homes in other zones follow by
        expected wait.
        """
        local_home = self.home(pool, self._zone)
        found = (
            [HomeCandidate(local_home, self._zone, 0.0)]
            if local_home is not None
            else []
        )
        others = [
            candidate
            for zone in self._ready_instances
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
