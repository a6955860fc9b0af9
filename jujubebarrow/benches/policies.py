"""Scheduling and planning policies that the experiments compare."""

from dataclasses import dataclass

from jujubebarrow.configurations.priorities import Priority
from jujubebarrow.identifiers import QueueId, TeamId
from jujubebarrow.queues.pool_schedulers import PoolScheduler
from jujubebarrow.queues.team_queues import TeamQueues


class FifoScheduler(PoolScheduler):
    """Starts requests first in, first out over all teams.

    The teams' shares affect neither the order of the requests nor the expected wait
    that decides on admission. In the simulations, only the requests' deadlines bound
    the wait.
    """

    def _rank(self, queues: TeamQueues, team: TeamId) -> tuple[float, float]:
        return 0.0, queues.head(team).arrived

    def expected_wait(self, team: TeamId, queue: QueueId, priority: Priority) -> float:
        """Return the expected wait behind all waiting requests, in seconds."""
        if self.free_slots > 0:
            return 0.0
        slots = max(1, self.upstreams.slots)
        return (self.waiting + 1) * self.run_time(queue) / slots


@dataclass(frozen=True)
class Policy:
    """Behaviour that differs between the runs of an experiment.

    Attributes:
        name: Name in the result table.
        scheduler_type: Scheduler that orders and admits requests.
        has_moves: Whether instances move between pools.
        has_hysteresis: Whether an instance moves only after several rounds of
            shortage and then stays in the new pool for a minimum time.
        has_parallel_maintenance: Whether maintenance proceeds in all pools at the
            same time, rather than on one instance of the fleet at a time.
    """

    name: str
    scheduler_type: type[PoolScheduler]
    has_moves: bool
    has_hysteresis: bool
    has_parallel_maintenance: bool


STATIC = Policy("static FIFO", FifoScheduler, False, True, False)
NO_HYSTERESIS = Policy("no hysteresis", PoolScheduler, True, False, True)
SHIPPED = Policy("shipped", PoolScheduler, True, True, True)
