"""Grants of a pool, and the resources that the teams' runs use in the pool."""

from jujubebarrow.identifiers import TeamId
from jujubebarrow.workloads.resources import NO_RESOURCES, Resources


class GrantRegistry:
    """Grants and resource use of one pool, by team.

    A grant is the part of a team's upper limit that a pool has reserved in the store.
    The upper limit applies to all pools together, so a pool starts a run only if the
    run fits into the grant.
    """

    def __init__(self) -> None:
        self._granted: dict[TeamId, Resources] = {}
        self._used: dict[TeamId, Resources] = {}
        self._requested: dict[TeamId, Resources] = {}
        self._limits: dict[TeamId, Resources] = {}

    def set_limits(self, limits: dict[TeamId, Resources]) -> None:
        """Apply the upper limits of a new configuration."""
        self._limits = limits

    def is_limited(self, team: TeamId) -> bool:
        """Return whether a team has an upper limit."""
        return any(self._limits.get(team, NO_RESOURCES))

    def set_granted(self, team: TeamId, granted: Resources) -> None:
        """Record how much of a team's limit is granted to this pool."""
        self._granted[team] = granted

    def granted(self, team: TeamId) -> Resources:
        """Return how much of a team's limit is granted to this pool."""
        return self._granted.get(team, NO_RESOURCES)

    def used(self, team: TeamId) -> Resources:
        """Return the resources of a team's runs that may be active in this pool."""
        return self._used.get(team, NO_RESOURCES)

    def add_usage(self, team: TeamId, amount: Resources) -> None:
        """Record the resources of a planned run."""
        self._used[team] = self.used(team).plus(amount)

    def remove_usage(self, team: TeamId, amount: Resources) -> None:
        """Remove the resources of a finished run."""
        self._used[team] = self.used(team).minus(amount)

    def request_start(self, team: TeamId, amount: Resources) -> bool:
        """Return whether a run fits into the grant.

        The resources of a run that does not fit are recorded as requested, so that the
        next grant can include them.
        """
        if not self.is_limited(team):
            return True
        total = self.used(team).plus(amount)
        if _fits_grant(total, self.granted(team), self._limits[team]):
            return True
        self._requested[team] = self._requested.get(team, NO_RESOURCES).plus(amount)
        return False

    def pop_requested(self) -> dict[TeamId, Resources]:
        """Return and clear the resources requested beyond the grants."""
        requested = self._requested
        self._requested = {}
        return requested

    def teams(self) -> list[TeamId]:
        """Return the teams whose grant is not empty."""
        return [team for team, granted in self._granted.items() if any(granted)]

    def limited_teams(self) -> list[TeamId]:
        """Return the teams with an upper limit."""
        return [team for team in self._limits if self.is_limited(team)]

    def limit(self, team: TeamId) -> Resources:
        """Return a team's upper limit."""
        return self._limits.get(team, NO_RESOURCES)


def _fits_grant(total: Resources, granted: Resources, limit: Resources) -> bool:
    return all(
        not upper or amount <= granted_amount
        for amount, granted_amount, upper in zip(total, granted, limit, strict=True)
    )


def compute_grant(
    limit: Resources,
    other_grants: Resources,
    used: Resources,
    requested: Resources,
    chunk_count: int,
) -> Resources:
    """Return a pool's new grant, rounded up to whole chunks of the limit.

    The grant is at most the part of the limit that is not granted to other pools.

    Args:
        limit: Upper limit of the team; 0 means no limit.
        other_grants: Sum of the team's grants in the other pools.
        used: Resources of the team's runs that may be active in this pool.
        requested: Resources that the pool could use at once beyond its grant.
        chunk_count: Number of chunks into which a limit is divided for granting.
    """
    amounts = []
    for total, granted_elsewhere, active, extra in zip(
        limit, other_grants, used, requested, strict=True
    ):
        chunk = -(-total // chunk_count)
        headroom = chunk if extra else 0
        target = -(-(active + extra + headroom) // chunk) * chunk if chunk else 0
        amounts.append(max(0, min(target, total - granted_elsewhere)))
    return Resources(*amounts)
