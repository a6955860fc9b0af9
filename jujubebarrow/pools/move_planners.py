"""When and which instances move between pools."""

from collections import Counter
from math import ceil

from jujubebarrow.configurations.configurations import Configuration
from jujubebarrow.configurations.instance_records import Instance
from jujubebarrow.configurations.instance_states import InstanceState
from jujubebarrow.configurations.move_causes import MoveCause
from jujubebarrow.configurations.record_kinds import RecordKind
from jujubebarrow.maintenance.observations import FleetObservations, PoolDemand
from jujubebarrow.pools.moves import Move

CONFIRMING_ROUNDS = 2
"""Rounds in a row in which a pool must be short before it gets instances."""
LARGEST_STEP = 2
"""Most instances that one pool gets in one round."""


class MovePlanner:
    """Plans moves towards the preset's sizes and the present demand.

    A pool whose expected wait stays long borrows from spare pools. It gives an
    instance back only after a hold time and when it does not need it, so that
    a short lull moves nothing.

    Args:
        hold: Seconds that an instance stays in a pool after a move.
        wait: Expected wait in seconds at which a pool is short.
    """

    def __init__(self, hold: float, wait: float):
        self._hold = hold
        self._wait = wait
        self._short_rounds: Counter[str] = Counter()
        self._idle_since: dict[str, float] = {}

    def plan(
        self,
        configuration: Configuration,
        observations: FleetObservations,
        now: float,
    ) -> list[Move]:
        """Return the moves to start now.

        Args:
            configuration: Records in force.
            observations: Demand of the pools.
            now: Seconds since the epoch.
        """
        self._watch(configuration, observations, now)
        moving = count_moves(configuration)
        sizes = {
            pool: len(configuration.pool_instances(pool)) + moving[pool]
            for pool in configuration.names(RecordKind.POOL)
        }
        wanted = self._wanted_sizes(configuration, observations, sizes, now)
        missing = {pool: wanted[pool] - size for pool, size in sizes.items()}
        return self._match(configuration, missing, now)

    def _watch(
        self,
        configuration: Configuration,
        observations: FleetObservations,
        now: float,
    ) -> None:
        for pool in configuration.names(RecordKind.POOL):
            demand = observations.demands.get(pool, PoolDemand())
            if demand.wait > self._wait:
                self._short_rounds[pool] += 1
            else:
                del self._short_rounds[pool]
            if demand.waiting or not demand.free_slots:
                self._idle_since.pop(pool, None)
            else:
                self._idle_since.setdefault(pool, now)

    def _wanted_sizes(
        self,
        configuration: Configuration,
        observations: FleetObservations,
        sizes: dict[str, int],
        now: float,
    ) -> dict[str, int]:
        preset = configuration.preset_in_force()
        wanted = {}
        for pool, size in sizes.items():
            base = preset.sizes.get(pool, size)
            if preset.moves and not self._is_spare(configuration, pool):
                demand = observations.demands.get(pool, PoolDemand())
                base = self._adjust(pool, size, base, demand, now)
            wanted[pool] = base
        return wanted

    def _adjust(
        self, pool: str, size: int, base: int, demand: PoolDemand, now: float
    ) -> int:
        if self._short_rounds[pool] >= CONFIRMING_ROUNDS:
            # The next step comes only after the pool was short for as long again.
            self._short_rounds[pool] = 0
            excess = min(1.0, demand.wait / self._wait - 1)
            step = min(LARGEST_STEP, ceil(max(1, size) * excess))
            return max(base, size + step)
        if size <= base:
            return base
        idle = now - self._idle_since.get(pool, now)
        if idle < self._hold or not _fits(size, demand):
            return size
        return max(base, size - 1)

    def _is_spare(self, configuration: Configuration, pool: str) -> bool:
        record = configuration.pool(pool)
        return record is not None and record.spare

    def _match(
        self, configuration: Configuration, missing: dict[str, int], now: float
    ) -> list[Move]:
        moves: list[Move] = []
        for target in sorted(missing, key=lambda pool: missing[pool], reverse=True):
            for _ in range(missing[target]):
                move = self._find(configuration, missing, target, now, moves)
                if move is not None:
                    moves.append(move)
        return moves

    def _find(
        self,
        configuration: Configuration,
        missing: dict[str, int],
        target: str,
        now: float,
        planned: list[Move],
    ) -> Move | None:
        taken = {move.instance for move in planned}
        for source in sorted(missing, key=lambda pool: missing[pool]):
            spare = self._is_spare(configuration, source)
            if source == target or (missing[source] >= 0 and not spare):
                continue
            name = self._choose(configuration, source, target, now, taken)
            if name is None:
                continue
            missing[source] += 1
            return Move(name, target, f"pool {target} needs instances of {source}")
        return None

    def _choose(
        self,
        configuration: Configuration,
        source: str,
        target: str,
        now: float,
        taken: set[str],
    ) -> str | None:
        record = configuration.pool(target)
        needed = record.accelerators if record else 0
        free = {
            name: instance
            for name, instance in configuration.pool_instances(source).items()
            if self._is_movable(instance, now, needed) and name not in taken
        }
        if not free:
            return None
        zones = Counter(
            instance.zone for instance in configuration.pool_instances(target).values()
        )
        # The target pool's thinnest zone first, for its failure domains.
        return min(free, key=lambda name: (zones[free[name].zone], name))

    def _is_movable(self, instance: Instance, now: float, accelerators: int) -> bool:
        if instance.state is not InstanceState.SERVING:
            return False
        if instance.accelerators < accelerators:
            return False
        return now - instance.moved >= self._hold


def count_moves(configuration: Configuration) -> Counter[str]:
    """Return how much started moves will change the size of each pool."""
    changes: Counter[str] = Counter()
    for pool in configuration.names(RecordKind.BUDGET):
        for name in configuration.budget(pool).unavailable:
            instance = configuration.instance(name)
            if instance is None or instance.cause is not MoveCause.MOVE:
                continue
            changes[instance.pool] -= 1
            if instance.target is not None:
                changes[instance.target] += 1
    return changes


def _fits(size: int, demand: PoolDemand) -> bool:
    # One instance less must still leave a free slot in four.
    if size <= 1:
        return False
    remaining = demand.slots * (size - 1) / size
    used = demand.slots - demand.free_slots
    return used <= remaining * 0.75
