"""Planning of moves of machines that the waiting steps of a pool request.

Other moves follow the processor capacity that pools need. A step may have to wait
although its pool has enough of it: a gang for several workers, or a step for a worker
that has a label.
"""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from jujubebarrow.identifiers import PoolId
from jujubebarrow.pools.pool_loads import PoolLoad
from jujubebarrow.pools.surplus_planners import LENDING_LOAD_RATIO


class RequestedMove(NamedTuple):
    """Move of a machine from one pool to another that requests it.

    Attributes:
        source: Pool that lends the machine.
        target: Pool that requests the machine.
        label: Label that the machine must have; empty if any machine will do.
    """

    source: PoolId
    target: PoolId
    label: str


def plan_requested_moves(
    loads: dict[PoolId, PoolLoad],
    incoming: dict[PoolId, int],
    other_sources: Iterable[PoolId] = (),
) -> list[RequestedMove]:
    """Return the moves of machines that pools request for their waiting steps.

    A pool lends machines that it does not need, but for its last one. Of two pools that
    request machines with the same label, the first by name does not lend any to the
    other, or the machines would go back and forth.

    Args:
        loads: Load by pool.
        incoming: Number of machines that are moving to each pool.
        other_sources: Source of each move that is planned for another reason.
    """
    targets = [pool for pool in sorted(loads) if loads[pool].requested_labels]
    if not targets:
        return []
    outgoing = Counter(other_sources)
    lendable = {
        pool: _count_lendable(load) - outgoing[pool] for pool, load in loads.items()
    }
    moves = []
    for target in targets:
        requested = loads[target].requested_labels[incoming.get(target, 0) :]
        if len(requested) > _count_other_machines(loads, target):
            continue
        for label in requested:
            sources = [
                pool
                for pool, load in loads.items()
                if lendable[pool] > 0
                and pool != target
                and (not label or label in load.offered_labels)
                and not (label in load.requested_labels and pool < target)
            ]
            if sources:
                source = max(
                    sources,
                    key=lambda pool: (
                        not loads[pool].is_standby,
                        lendable[pool],
                        pool,
                    ),
                )
                lendable[source] -= 1
                moves.append(RequestedMove(source, target, label))
    return moves


def _count_lendable(load: PoolLoad) -> int:
    """Return how many machines a pool can lend now."""
    if load.is_standby:
        return load.movable
    size = load.machine_size
    if not size:
        return 0
    demand = max(load.demand, load.recent_demand, load.backlog)
    unneeded = int((load.capacity - demand / LENDING_LOAD_RATIO) / size)
    return max(0, min(load.movable, unneeded, load.machines - 1))


def _count_other_machines(loads: dict[PoolId, PoolLoad], target: PoolId) -> int:
    """Return how many machines all other pools could lend if they were idle."""
    return sum(
        load.movable if load.is_standby else max(0, load.machines - 1)
        for pool, load in loads.items()
        if pool != target
    )
