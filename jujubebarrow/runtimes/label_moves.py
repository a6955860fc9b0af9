"""Machines that a pool lends for their labels."""

from collections.abc import Iterable

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.identifiers import PoolId
from jujubebarrow.pools.label_planners import plan_label_moves
from jujubebarrow.pools.pool_loads import PoolLoad

LABEL_WAIT_SECONDS = 5.0
"""Time for which a pool lacks a label before other pools lend machines; longer than the
restart of a worker."""
REPEAT_SECONDS = 5.0
"""Time after which a pool lends another machine with the same label to the same pool;
longer than the drain of a worker and the move of its machine."""


class LabelMoves:
    """Tells which labels a pool wants and which machines it lends for their labels.

    Machines are lent by processor capacity, so that the only one with a label may have
    left the pool whose jobs require the label.

    Args:
        coordinator: Makes the scheduling decisions of the pool.
        clock: Time source.
    """

    def __init__(self, coordinator: PoolCoordinator, clock: Clock):
        self._coordinator = coordinator
        self._pool = coordinator.state.pool
        self._clock = clock
        self._lacking_since: dict[str, float] = {}
        self._lent_at: dict[tuple[PoolId, str], float] = {}

    def find_wanted(self) -> tuple[str, ...]:
        """Return the labels that steps wait for and that too few workers have."""
        now = self._clock.monotonic()
        lacking = self._coordinator.demand.find_lacking_labels()
        self._lacking_since = {
            label: self._lacking_since.get(label, now) for label in lacking
        }
        return tuple(
            sorted(
                label
                for label, since in self._lacking_since.items()
                if now - since >= LABEL_WAIT_SECONDS
            )
        )

    def find_offered(
        self, loads: dict[PoolId, PoolLoad], movable: Iterable[tuple[str, ...]]
    ) -> tuple[str, ...]:
        """Return the labels that other pools want and that this one can lend.

        Args:
            loads: Load by pool.
            movable: Labels of each machine that can move at once.
        """
        wanted = {
            label
            for pool, load in loads.items()
            if pool != self._pool
            for label in load.wanted_labels
        }
        if not wanted:
            return ()
        offered = wanted.intersection(label for labels in movable for label in labels)
        return tuple(sorted(offered - self._coordinator.demand.find_scarce_labels()))

    def choose(self, loads: dict[PoolId, PoolLoad]) -> list[tuple[PoolId, str]]:
        """Return the target pool and label of each machine to lend now.

        Args:
            loads: Load by pool.
        """
        now = self._clock.monotonic()
        chosen = []
        for source, target, label in plan_label_moves(loads):
            lent_at = self._lent_at.get((target, label), float("-inf"))
            if source == self._pool and now - lent_at >= REPEAT_SECONDS:
                self._lent_at[target, label] = now
                chosen.append((target, label))
        return chosen
