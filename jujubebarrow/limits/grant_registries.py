"""Grants of a pool, and the resources that the teams' runs use in the pool."""

from jujubebarrow.identifiers import TeamId
from jujubebarrow.limits.grant_planners import GrantRequest, fits_limit
from jujubebarrow.workloads.resources import NO_RESOURCES, Resources


class GrantRegistry:
    """Grants and resource use of one pool, by team.

    A grant is the part of a team's upper limit that a pool has reserved in the store.
    The upper limit applies to all pools together, so a pool starts a run only if the
    run fits into the grant.
    """

    def __init__(self) -> None:
        self._granted: dict[TeamId, Resources] = {}
        self._usable: dict[TeamId, Resources] = {}
        self._used: dict[TeamId, Resources] = {}
        self._requests: dict[TeamId, list[GrantRequest]] = {}
        self._limits: dict[TeamId, Resources] = {}

    def set_limits(self, limits: dict[TeamId, Resources]) -> None:
        """Apply the upper limits of a new configuration."""
        self._limits = limits

    def is_limited(self, team: TeamId) -> bool:
        """Return whether a team has an upper limit."""
        return any(self._limits.get(team, NO_RESOURCES))

    def set_granted(
        self, team: TeamId, granted: Resources, usable: Resources | None = None
    ) -> None:
        """Record how much of a team's limit is granted to this pool.

        Args:
            team: Team with the limit.
            granted: Stored grant.
            usable: Part up to which runs may start; None for the whole grant.
        """
        self._granted[team] = granted
        self._usable[team] = granted if usable is None else usable

    def usable(self, team: TeamId) -> Resources:
        """Return up to how much of a team's limit this pool may start runs."""
        return self._usable.get(team, NO_RESOURCES)

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

    def clear_requests(self) -> None:
        """Drop all requests; each plan of the pool requests anew what it lacks."""
        self._requests.clear()

    def request_start(self, team: TeamId, amount: Resources, count: int = 1) -> bool:
        """Return whether a run fits into the grant.

        A run that does not fit is recorded as requested, so that the next grant can
        include it.

        Args:
            team: Team of the run.
            amount: Resources of the run, or of a gang.
            count: Number of such runs that could start; none is requested if 0.
        """
        if not self.is_limited(team):
            return True
        total = self.used(team).plus(amount)
        if fits_limit(total, self.usable(team), self._limits[team]):
            return True
        if count:
            self._requests.setdefault(team, []).append(GrantRequest(amount, count))
        return False

    def requests(self, team: TeamId) -> list[GrantRequest]:
        """Return the runs that did not fit in the latest plan."""
        return self._requests.get(team, [])

    def requesting_teams(self) -> list[TeamId]:
        """Return the teams with a run that did not fit in the latest plan."""
        return list(self._requests)

    def teams_with_surplus(self) -> list[TeamId]:
        """Return the teams whose grant is larger than what their runs use."""
        return [team for team in self._granted if self.has_surplus(team)]

    def has_surplus(self, team: TeamId) -> bool:
        """Return whether a team's runs use less than the grant."""
        return not self.granted(team).fits(self.used(team))

    def count_admissible(self, team: TeamId, amount: Resources, count: int) -> int:
        """Return how many further runs a team's upper limit admits in this pool.

        Args:
            team: Team of the runs.
            amount: Resources of one run.
            count: Number of waiting runs.
        """
        taken = self.used(team)
        for request in self.requests(team):
            taken = taken.plus(request.needs.times(request.count))
        # A limit of 0 is none.
        left = Resources(
            *(
                limit - used if limit else needed * count
                for limit, used, needed in zip(
                    self.limit(team), taken, amount, strict=True
                )
            )
        )
        return amount.count_fitting(left, count)

    def limited_teams(self) -> list[TeamId]:
        """Return the teams with an upper limit."""
        return [team for team in self._limits if self.is_limited(team)]

    def limit(self, team: TeamId) -> Resources:
        """Return a team's upper limit."""
        return self._limits.get(team, NO_RESOURCES)
