"""Demand in which each queue in turn asks for far more than its mean."""

from dataclasses import dataclass, replace
from random import Random

BURST_FACTOR = 5.0
QUIET_FACTOR = 0.05


@dataclass(frozen=True)
class DemandShape:
    """Deployment of one user.

    Attributes:
        name: User.
        pools: Pools with a queue of the same name, without the spare.
        workers: Workers of each pool.
        spare_workers: Workers of the spare pool.
        slots: Slots of a worker.
        shares: Share of each team.
        asks: Part of the demand that each team makes.
        run_time: Mean run time in seconds.
        load: Mean demand as a part of a pool's slots.
        burst: Length of a burst in seconds.
        deadline: Seconds that callers wait.
        unavailable_limit: Availability budget of each pool.
        hold: Seconds that an instance stays after a move.
    """

    name: str
    pools: tuple[str, ...]
    workers: int
    spare_workers: int
    slots: int
    shares: tuple[float, ...]
    asks: tuple[float, ...]
    run_time: float
    load: float
    burst: float
    deadline: float
    unavailable_limit: int
    hold: float

    @property
    def teams(self) -> tuple[str, ...]:
        """Names of the teams."""
        return tuple(f"team-{number}" for number in range(len(self.shares)))

    def rate(self, pool: str, time: float) -> float:
        """Return the requests a second that a queue gets at a time."""
        mean = self.load * self.workers * self.slots / self.run_time
        turn = int(time / self.burst) % len(self.pools)
        bursting = self.pools.index(pool) == turn
        return mean * (BURST_FACTOR if bursting else QUIET_FACTOR)

    def choose_team(self, random: Random) -> str:
        """Return the team of the next request."""
        return random.choices(self.teams, self.asks)[0]


KORO = DemandShape(
    name="Koro",
    pools=("labels", "certificates", "verify", "reports"),
    workers=6,
    spare_workers=6,
    slots=8,
    shares=(4, 3, 1, 1, 1, 1),
    asks=(8, 5, 1, 1, 1, 1),
    run_time=0.5,
    load=0.3,
    burst=20.0,
    deadline=5.0,
    unavailable_limit=1,
    hold=20.0,
)
HANBIT = replace(
    KORO,
    name="Hanbit",
    pools=("orders", "payments", "stock", "mail"),
    shares=(2, 2, 1, 1, 1, 1),
    asks=(12, 8, 1, 1, 1, 1),
)
