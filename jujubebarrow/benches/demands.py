"""Demand in which each queue in turn gets far more requests than its mean."""

from dataclasses import dataclass, replace
from random import Random

PEAK_FACTOR = 5.0
OFF_PEAK_FACTOR = 0.05


@dataclass(frozen=True)
class DemandShape:
    """Deployment of one user of the software, and its demand.

    Attributes:
        name: Name of the user in the result tables.
        pools: Pools that have a queue of the same name, without the spare pool.
        workers: Number of workers in each pool.
        spare_workers: Number of workers in the spare pool.
        slots: Number of tasks that a worker runs at a time.
        shares: Share of each team.
        team_demand_weights: Relative demand of each team.
        run_time: Mean run time of a task in seconds.
        base_load: Demand as a fraction of a pool's slots, before the multiplication by
            ``PEAK_FACTOR`` or ``OFF_PEAK_FACTOR``.
        peak_duration: Duration of a demand peak in seconds.
        request_timeout: Time in seconds that callers wait for a response.
        unavailable_limit: Availability budget of each pool.
        min_stay: Seconds for which an instance stays in a pool after a move.
    """

    name: str
    pools: tuple[str, ...]
    workers: int
    spare_workers: int
    slots: int
    shares: tuple[float, ...]
    team_demand_weights: tuple[float, ...]
    run_time: float
    base_load: float
    peak_duration: float
    request_timeout: float
    unavailable_limit: int
    min_stay: float

    @property
    def teams(self) -> tuple[str, ...]:
        """Names of the teams."""
        return tuple(f"team-{number}" for number in range(len(self.shares)))

    def arrival_rate(self, pool: str, time: float) -> float:
        """Return the number of requests per second to a queue at a given time.

        Args:
            pool: Pool of the queue; the queue has the same name.
            time: Seconds since the start of the simulation.
        """
        base_rate = self.base_load * self.workers * self.slots / self.run_time
        peak_pool_index = int(time / self.peak_duration) % len(self.pools)
        is_at_peak = self.pools.index(pool) == peak_pool_index
        return base_rate * (PEAK_FACTOR if is_at_peak else OFF_PEAK_FACTOR)

    def choose_team(self, random: Random) -> str:
        """Return a random team for the next request, weighted by demand."""
        return random.choices(self.teams, self.team_demand_weights)[0]


KORO = DemandShape(
    name="Koro",
    pools=("labels", "certificates", "verify", "reports"),
    workers=6,
    spare_workers=6,
    slots=8,
    shares=(4, 3, 1, 1, 1, 1),
    team_demand_weights=(8, 5, 1, 1, 1, 1),
    run_time=0.5,
    base_load=0.3,
    peak_duration=20.0,
    request_timeout=5.0,
    unavailable_limit=1,
    min_stay=20.0,
)
HANBIT = replace(
    KORO,
    name="Hanbit",
    pools=("orders", "payments", "stock", "mail"),
    shares=(2, 2, 1, 1, 1, 1),
    team_demand_weights=(12, 8, 1, 1, 1, 1),
)
