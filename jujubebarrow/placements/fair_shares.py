"""Division of a full pool among the teams whose jobs can still finish in time."""

from collections import Counter

from jujubebarrow.coordinators.job_progresses import JobProgress
from jujubebarrow.identifiers import JobId, TeamId
from jujubebarrow.shares.entitlements import compute_entitlements

DEFAULT_WEIGHT = 1.0
"""Weight of a team that the configuration does not name."""


class FairShare:
    """Finds the jobs beyond their team's share of a pool.

    The pool is divided by weighted max-min fairness: a team gets what it asks for up to
    its share, and what it leaves goes to the others. A burst of one team then delays
    that team's own jobs.
    """

    def __init__(self) -> None:
        self._weights: dict[TeamId, float] = {}

    def set_weights(self, weights: dict[TeamId, float]) -> None:
        """Replace the weights of the teams."""
        self._weights = weights

    def find_excess(
        self, jobs: list[JobProgress], running: Counter[TeamId], capacity: int
    ) -> set[JobId]:
        """Return the jobs that lie beyond their team's share.

        Args:
            jobs: Jobs that can still finish in time, in the order of their ranks.
            running: Processor time reserved by the finite runs of each team.
            capacity: Capacity of the pool for finite runs; all amounts are in
                thousandths of a core.
        """
        waiting = {job.record.job: job.sum_waiting_cpu() for job in jobs}
        demands = Counter(running)
        for job in jobs:
            demands[job.record.team] += waiting[job.record.job]
        if len(demands) < 2 or demands.total() <= capacity:
            return set()
        weights = {team: self._weights.get(team) or DEFAULT_WEIGHT for team in demands}
        entitlements = compute_entitlements(demands, weights, capacity)
        unused = {team: entitlements.get(team, 0.0) - running[team] for team in demands}
        excess = set()
        for job in jobs:
            team = job.record.team
            if waiting[job.record.job] and unused[team] <= 0:
                excess.add(job.record.job)
            unused[team] -= waiting[job.record.job]
        return excess
