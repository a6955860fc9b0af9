"""Checks of what a team has running, from the workers' own records."""

from jujubebarrow.tests.fakes.job_clusters import JobCluster
from jujubebarrow.workloads.resources import NO_RESOURCES, Resources

OVERAGE = 0.1
"""Part of an upper limit by which the platform's rules permit a team to exceed it."""


class LimitAudit:
    """Finds starts that bring the only team above its limit and one task more.

    Args:
        cluster: Simulated cluster after a run.
        limit: Upper limit of the team, the same during the whole run.
    """

    def __init__(self, cluster: JobCluster, limit: Resources):
        self._cluster = cluster
        self._limit = limit

    def find_violations(self) -> list[str]:
        """Return the starts that the platform's rule on upper limits forbids."""
        return [
            f"{active} beside a start of {needs}, limit {self._limit}, at {time:.3f}"
            for time, active, needs in self._list_starts()
            if self._exceeds(active, 1 + OVERAGE)
        ]

    def count_large_starts(self) -> int:
        """Return how many starts were of tasks that need over half of the limit."""
        return sum(self._exceeds(needs, 0.5) for _, _, needs in self._list_starts())

    def _list_starts(self) -> list[tuple[float, Resources, Resources]]:
        """Return time, resources of the other active runs, and needs of each start."""
        runs = sorted(self._cluster.list_runs(), key=lambda run: run.started_at)
        starts = []
        for number, run in enumerate(runs):
            active = NO_RESOURCES
            for other in runs[:number]:
                if other.ended_at is None or other.ended_at > run.started_at:
                    active = active.plus(self._cluster.find_step(other.task).needs)
            starts.append(
                (run.started_at, active, self._cluster.find_step(run.task).needs)
            )
        return starts

    def _exceeds(self, amount: Resources, factor: float) -> bool:
        return any(
            upper and part > upper * factor
            for part, upper in zip(amount, self._limit, strict=True)
        )
