"""Planning of machine loans between pools whose demand peaks at different times.

The queues' demand peaks in turn, each for some seconds at several times the capacity
of the queue's own pool. A loan of machines helps only if the machines arrive before the
peak ends.
"""

from collections import Counter
from dataclasses import replace
from math import ceil

from jujubebarrow.identifiers import PoolId
from jujubebarrow.pools.pool_loads import PoolLoad

SHORTAGE_LOAD_RATIO = 1.0
"""Ratio of a pool's demand to its capacity above which the pool needs machines."""
LENDING_LOAD_RATIO = 0.75
"""Ratio of demand to remaining capacity up to which a pool lends machines."""
MIN_MACHINE_COUNT = 2
"""Machines that stay in each pool, so that one is left if another is lost."""
RETAINED_SHARE = 0.4
"""Share of an equal part of the machines that each used pool retains, since the
pool's own demand peak rises faster than machines can return."""
UNEVEN_LIMIT_COUNT = 2
"""Machines that a pool may lack of an equal part before it gets them from others while
no pool is short."""
MAX_RECEIVED_SHARE = 0.5
"""Largest share of all machines that one pool may receive in one plan."""


def plan_moves(
    loads: dict[PoolId, PoolLoad], incoming: dict[PoolId, int]
) -> list[tuple[PoolId, PoolId]]:
    """Return the moves that balance the load, as pairs of source and target pool.

    Pools whose jobs can still finish in time come first. Pools with a backlog of late
    jobs get only machines that no other pool needs. While no pool is short, machines
    that a past demand peak has left in one pool are spread evenly, so that the next
    peak starts with more of them and depends on fewer lenders; not those of a pool that
    requests machines for its steps. All pool owners derive the same plan from the same
    loads; each executes the moves whose source is its own pool.

    Args:
        loads: Load by pool.
        incoming: Number of machines that are moving to each pool.
    """
    sizes = [load.machine_size for load in loads.values() if load.machines]
    mean_size = sum(sizes) / len(sizes) if sizes else 0.0
    if not mean_size:
        return []
    equal_part = _count_equal_part(loads)
    retained_count = ceil(RETAINED_SHARE * equal_part)
    needs = _count_needs(loads, incoming, mean_size)
    surplus = {
        pool: _count_surplus(load, retained_count) for pool, load in loads.items()
    }
    moves = _match_pools(loads, needs, surplus)
    if needs:
        return moves
    total_loads = {
        pool: replace(load, demand=max(load.demand, load.backlog))
        for pool, load in loads.items()
    }
    # Machines of a past peak are not needed at once elsewhere. A pool keeps them until
    # its peak is certainly over, or they would have to return.
    recent_loads = {
        pool: replace(load, demand=max(load.demand, load.recent_demand))
        for pool, load in total_loads.items()
    }
    all_incoming = Counter(incoming) + Counter(target for _, target in moves)
    outgoing = Counter(source for source, _ in moves)
    needs = _count_needs(total_loads, all_incoming, mean_size)
    surplus = {
        pool: max(0, _count_surplus(load, retained_count) - outgoing[pool])
        for pool, load in recent_loads.items()
    }
    moves += _match_pools(loads, needs, surplus)
    return moves or _match_pools(
        loads,
        _count_missing_parts(loads, incoming, int(equal_part)),
        {
            pool: _count_surplus(load, int(equal_part))
            for pool, load in recent_loads.items()
            if not load.is_standby and not load.requested_labels
        },
    )


def _match_pools(
    loads: dict[PoolId, PoolLoad], needs: dict[PoolId, int], surplus: dict[PoolId, int]
) -> list[tuple[PoolId, PoolId]]:
    """Return moves to the pools with the greatest needs; decrement both counts."""
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
    loads: dict[PoolId, PoolLoad], incoming: dict[PoolId, int], mean_size: float
) -> dict[PoolId, int]:
    needs = {}
    machine_count = sum(load.machines for load in loads.values())
    received_limit = max(MIN_MACHINE_COUNT, int(MAX_RECEIVED_SHARE * machine_count))
    for pool, load in loads.items():
        missing = load.demand - SHORTAGE_LOAD_RATIO * load.capacity
        if load.is_standby or missing <= 0:
            continue
        # A pool that has lost all its machines needs one even for little demand.
        min_count = 0 if load.machines else 1
        count = max(int(missing / mean_size + 0.5), min_count) - incoming.get(pool, 0)
        count = min(count, received_limit)
        if count > 0:
            needs[pool] = count
    return needs


def _count_equal_part(loads: dict[PoolId, PoolLoad]) -> float:
    """Return the machines of each used pool if all had the same number."""
    serving = [load for load in loads.values() if not load.is_standby]
    sharing_count = sum(load.is_used for load in serving) or len(serving)
    return sum(load.machines for load in serving) / sharing_count


def _count_missing_parts(
    loads: dict[PoolId, PoolLoad], incoming: dict[PoolId, int], equal_part: int
) -> dict[PoolId, int]:
    """Return how many machines used pools lack of an equal part."""
    missing = {
        pool: equal_part - load.machines - incoming.get(pool, 0)
        for pool, load in loads.items()
        if load.is_used and not load.is_standby
    }
    return {
        pool: count for pool, count in missing.items() if count > UNEVEN_LIMIT_COUNT
    }


def _count_surplus(load: PoolLoad, retained_count: int) -> int:
    if load.is_standby:
        return load.movable
    if not load.machines or load.demand > LENDING_LOAD_RATIO * load.capacity:
        return 0
    size = load.machine_size
    unneeded = (
        int((load.capacity - load.demand / LENDING_LOAD_RATIO) / size) if size else 0
    )
    kept_count = max(MIN_MACHINE_COUNT, retained_count if load.is_used else 0)
    return max(0, min(load.movable, unneeded, load.machines - kept_count))


def _choose_source(loads: dict[PoolId, PoolLoad], surplus: dict[PoolId, int]) -> PoolId:
    # Running machines are lent before standby machines, since a standby machine costs
    # money only once the machine is lent.
    return max(
        (pool for pool, count in surplus.items() if count),
        key=lambda pool: (not loads[pool].is_standby, surplus[pool], pool),
    )
