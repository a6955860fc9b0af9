"""Configuration of the fleet."""

from dataclasses import dataclass, field

from jujubebarrow.fleets.pool_specs import PoolSpec
from jujubebarrow.fleets.queue_routes import QueueRoute
from jujubebarrow.fleets.team_specs import TeamSpec
from jujubebarrow.identifiers import KeyDigest, PoolId, QueueId, TeamId
from jujubebarrow.key_digests import digest_key


@dataclass(frozen=True, kw_only=True)
class FleetMap:
    """Routes, pools and teams of one version of the configuration.

    Attributes:
        version: Version of the configuration; a lower version never replaces a higher
            one.
        routes: Routes by host, longest prefix first.
        queues: Routes by queue.
        pools: Specifications by pool.
        teams: Specifications by team.
        keys: Team of each caller's key, by the key's digest.
        body_limit: Maximum size of a request's body in bytes.
    """

    version: int
    routes: dict[str, tuple[QueueRoute, ...]]
    queues: dict[QueueId, QueueRoute]
    pools: dict[PoolId, PoolSpec]
    teams: dict[TeamId, TeamSpec] = field(default_factory=dict)
    keys: dict[KeyDigest, TeamId] = field(default_factory=dict)
    body_limit: int = 0

    def match(self, host: str, path: str) -> QueueRoute | None:
        """Return the route with the longest matching prefix, or None if none match."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_team(self, key: str) -> TeamId | None:
        """Return the team of a caller's key, or None if the key is unknown."""
        return self.keys.get(digest_key(key))


def index_routes(routes: list[QueueRoute]) -> dict[str, tuple[QueueRoute, ...]]:
    """Return routes by host, longest prefix first."""
    hosts: dict[str, list[QueueRoute]] = {}
    for route in routes:
        hosts.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(group, key=lambda route: -len(route.prefix)))
        for host, group in hosts.items()
    }
