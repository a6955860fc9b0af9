"""Which pools lend machines to which, while demand goes round between them.

Answers queues that ask by turns for several times what their pool holds, for some
seconds each: machines follow the demand, as far as a move is over before it ebbs.
"""

from collections import Counter
from dataclasses import replace

from jujubebarrow.identifiers import PoolId
from jujubebarrow.pools.pool_loads import PoolLoad

SHORT = 1.0
"""Demand of a pool, as a share of its capacity, from which it needs machines."""
RELAXED = 0.5
"""Demand, as a share of what is left, up to which a pool lends a machine."""
LENT_SHARE = 0.5
"""Largest part of a pool's machines that it lends in one plan."""
LEAST_MACHINES = 2
"""Machines that stay in each pool, so that the loss of one leaves another."""
KEPT_SHARE = 0.75
"""Part of an equal share of all machines that stays in each pool: its own turn comes
faster than machines do."""
LARGEST_LOAN = 0.5
"""Part of all machines that one pool gets in one plan."""


def plan_moves(
    loads: dict[PoolId, PoolLoad], under_way: dict[PoolId, int]
) -> list[tuple[PoolId, PoolId]]:
    """Return the moves that would even out the load, as pairs of pools.

    Pools whose callers can still be served in time come first; pools with a backlog
    that is late get machines that nobody else can use. All owners come to the same
    plan from the same loads; each carries out the part that begins at its own pool.

    Args:
        loads: Load of each pool.
        under_way: Machines that are on their way to each pool.
    """
    sizes = [load.machine_size for load in loads.values() if load.machines]
    usual = sum(sizes) / len(sizes) if sizes else 0.0
    if not usual:
        return []
    kept = _count_kept(loads)
    needs = _count_needs(loads, under_way, usual)
    surplus = {pool: _count_surplus(load, kept) for pool, load in loads.items()}
    moves = _match(loads, needs, surplus)
    if needs:
        return moves
    whole = {
        pool: replace(load, demand=max(load.demand, load.backlog))
        for pool, load in loads.items()
    }
    coming = Counter(under_way) + Counter(target for _, target in moves)
    going = Counter(source for source, _ in moves)
    needs = _count_needs(whole, coming, usual)
    surplus = {
        pool: max(0, _count_surplus(load, kept) - going[pool])
        for pool, load in whole.items()
    }
    return moves + _match(loads, needs, surplus)


def _match(
    loads: dict[PoolId, PoolLoad], needs: dict[PoolId, int], surplus: dict[PoolId, int]
) -> list[tuple[PoolId, PoolId]]:
    """Return moves, the pool that is shortest of machines first; lowers both counts."""
    moves: list[tuple[PoolId, PoolId]] = []
    while needs and any(surplus.values()):
        target = max(needs, key=lambda pool: (needs[pool], pool))
        source = _choose_source(loads, surplus)
        moves.append((source, target))
        surplus[source] -= 1
        needs[target] -= 1
        if needs[target] <= 0:
            del needs[target]
    return moves


def _count_needs(
    loads: dict[PoolId, PoolLoad], under_way: dict[PoolId, int], usual: float
) -> dict[PoolId, int]:
    needs = {}
    present = sum(load.machines for load in loads.values())
    most = max(LEAST_MACHINES, int(LARGEST_LOAN * present))
    for pool, load in loads.items():
        missing = load.demand - SHORT * load.capacity
        if load.is_standby or missing <= 0:
            continue
        # A pool that has lost all its machines needs one, however little it asks.
        least = 0 if load.machines else 1
        count = max(int(missing / usual + 0.5), least) - under_way.get(pool, 0)
        count = min(count, most)
        if count > 0:
            needs[pool] = count
    return needs


def _count_kept(loads: dict[PoolId, PoolLoad]) -> int:
    """Return how many machines stay in each pool."""
    serving = [load.machines for load in loads.values() if not load.is_standby]
    return max(LEAST_MACHINES, int(KEPT_SHARE * sum(serving) / len(serving)))


def _count_surplus(load: PoolLoad, kept: int) -> int:
    if load.is_standby:
        return load.movable
    if not load.machines or load.demand > RELAXED * load.capacity:
        return 0
    size = load.machine_size
    unneeded = int((load.capacity - load.demand / RELAXED) / size) if size else 0
    most = min(int(load.machines * LENT_SHARE), load.machines - kept)
    return max(0, min(load.movable, unneeded, most))


def _choose_source(loads: dict[PoolId, PoolLoad], surplus: dict[PoolId, int]) -> PoolId:
    # Machines that are paid for already go first.
    return max(
        (pool for pool, count in surplus.items() if count),
        key=lambda pool: (not loads[pool].is_standby, surplus[pool], pool),
    )
