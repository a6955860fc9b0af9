"""Policies that an experiment compares."""

from dataclasses import dataclass

from jujubebarrow.configurations.priorities import Priority
from jujubebarrow.identifiers import QueueId, TeamId
from jujubebarrow.queues.pool_schedulers import PoolScheduler
from jujubebarrow.queues.team_queues import TeamQueues


class FifoScheduler(PoolScheduler):
    """First in, first out over all teams, bounded by the deadline only."""

    def _rank(self, queues: TeamQueues, team: TeamId) -> tuple[float, float]:
        return 0.0, queues.head(team).arrived

    def expected_wait(self, team: TeamId, queue: QueueId, priority: Priority) -> float:
        """Return the wait behind everything that waits already, in seconds."""
        if self.free_slots > 0:
            return 0.0
        slots = max(1, self.upstreams.slots)
        return (self.waiting + 1) * self.run_time(queue) / slots


@dataclass(frozen=True)
class Policy:
    """What differs between the runs of an experiment.

    Attributes:
        name: Name in the table.
        scheduler: Order and admission.
        moves: Whether instances move between pools.
        hysteresis: Whether moves wait for a lasting cause and hold.
        parallel: Whether maintenance works on all pools at a time.
    """

    name: str
    scheduler: type[PoolScheduler]
    moves: bool
    hysteresis: bool
    parallel: bool


STATIC = Policy("static FIFO", FifoScheduler, False, True, False)
RESTLESS = Policy("no hysteresis", PoolScheduler, True, False, True)
SHIPPED = Policy("shipped", PoolScheduler, True, True, True)
