"""A pool's part of each team's upper limit, and what it uses of it."""

from jujubebarrow.identifiers import TeamId
from jujubebarrow.workloads.resources import NOTHING, Resources


class GrantBook:
    """Grants held by one pool.

    A team's upper limit holds over all pools, so a pool starts only what fits into
    the part that it has reserved in the store beforehand.
    """

    def __init__(self) -> None:
        self._granted: dict[TeamId, Resources] = {}
        self._used: dict[TeamId, Resources] = {}
        self._wanted: dict[TeamId, Resources] = {}
        self._limits: dict[TeamId, Resources] = {}

    def set_limits(self, limits: dict[TeamId, Resources]) -> None:
        """Take over the limits of a new configuration."""
        self._limits = limits

    def is_limited(self, team: TeamId) -> bool:
        """Return whether a team has an upper limit."""
        return any(self._limits.get(team, NOTHING))

    def set_granted(self, team: TeamId, granted: Resources) -> None:
        """Note how much of a team's limit this pool may use."""
        self._granted[team] = granted

    def granted(self, team: TeamId) -> Resources:
        """Return how much of a team's limit this pool may use."""
        return self._granted.get(team, NOTHING)

    def used(self, team: TeamId) -> Resources:
        """Return what runs of a team may be at work in this pool."""
        return self._used.get(team, NOTHING)

    def add(self, team: TeamId, amount: Resources) -> None:
        """Note a planned run."""
        self._used[team] = self.used(team).plus(amount)

    def remove(self, team: TeamId, amount: Resources) -> None:
        """Note the end of a run."""
        self._used[team] = self.used(team).minus(amount)

    def may_start(self, team: TeamId, amount: Resources) -> bool:
        """Return whether a run fits into the grant; if not, note that it is wanted."""
        if not self.is_limited(team):
            return True
        total = self.used(team).plus(amount)
        if _fits_limited(total, self.granted(team), self._limits[team]):
            return True
        self._wanted[team] = self._wanted.get(team, NOTHING).plus(amount)
        return False

    def take_wanted(self) -> dict[TeamId, Resources]:
        """Return, and forget, what was wanted beyond the grants."""
        wanted = self._wanted
        self._wanted = {}
        return wanted

    def teams(self) -> list[TeamId]:
        """Return the teams with a grant."""
        return [team for team, granted in self._granted.items() if any(granted)]

    def limited_teams(self) -> list[TeamId]:
        """Return the teams with an upper limit."""
        return [team for team in self._limits if self.is_limited(team)]

    def limit(self, team: TeamId) -> Resources:
        """Return a team's upper limit."""
        return self._limits.get(team, NOTHING)


def _fits_limited(total: Resources, granted: Resources, limit: Resources) -> bool:
    return all(
        not most or amount <= part
        for amount, part, most in zip(total, granted, limit, strict=True)
    )


def share_out(
    limit: Resources, others: Resources, used: Resources, wanted: Resources, parts: int
) -> Resources:
    """Return a pool's new grant.

    Args:
        limit: Team's upper limit; 0 means no limit.
        others: Sum of the grants of the other pools.
        used: What may be at work in this pool.
        wanted: What it could start at once beyond its grant.
        parts: Number of chunks that a limit is handed out in.
    """
    amounts = []
    for most, taken, busy, more in zip(limit, others, used, wanted, strict=True):
        chunk = -(-most // parts)
        ahead = chunk if more else 0
        target = -(-(busy + more + ahead) // chunk) * chunk if chunk else 0
        amounts.append(max(0, min(target, most - taken)))
    return Resources(*amounts)
