"""Planning of machine loans to pools that lack a label."""

from jujubebarrow.identifiers import PoolId
from jujubebarrow.pools.pool_loads import PoolLoad
from jujubebarrow.pools.surplus_planners import LENDING_LOAD_RATIO


def plan_label_moves(
    loads: dict[PoolId, PoolLoad],
) -> list[tuple[PoolId, PoolId, str]]:
    """Return the moves of machines with a label that steps of another pool wait for.

    Each pool gets at most one machine with each label, and each pool lends at most one.
    All pool owners derive the same plan from the same loads.

    Args:
        loads: Load by pool.

    Returns:
        Source and target pool, and the label of each move.
    """
    moves: list[tuple[PoolId, PoolId, str]] = []
    sources = {pool for pool, load in loads.items() if _can_lend(load)}
    for target in sorted(loads):
        for label in loads[target].wanted_labels:
            offering = [
                pool
                for pool in sources
                if pool != target and label in loads[pool].offered_labels
            ]
            if offering:
                source = max(
                    offering,
                    key=lambda pool: (
                        not loads[pool].is_standby,
                        loads[pool].movable,
                        pool,
                    ),
                )
                sources.remove(source)
                moves.append((source, target, label))
    return moves


def _can_lend(load: PoolLoad) -> bool:
    """Return whether a pool goes on with one machine less."""
    if load.is_standby:
        return load.movable > 0
    if load.machines < 2 or not load.movable:
        return False
    return load.demand <= LENDING_LOAD_RATIO * (load.capacity - load.machine_size)
