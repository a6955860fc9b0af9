"""Planning of instance moves between pools."""

from collections import Counter
from math import ceil

from jujubebarrow.configurations.configurations import Configuration
from jujubebarrow.configurations.drain_causes import DrainCause
from jujubebarrow.configurations.instance_records import Instance
from jujubebarrow.configurations.instance_states import InstanceState
from jujubebarrow.configurations.record_kinds import RecordKind
from jujubebarrow.maintenance.observations import FleetObservations, PoolDemand
from jujubebarrow.pools.moves import Move

CONFIRMING_ROUNDS = 2
"""Consecutive control rounds of shortage after which a pool gets instances."""
MOVES_PER_ROUND_LIMIT = 2
"""Maximum number of instances that a pool gets in one round because of a shortage."""


class MovePlanner:
    """Plans moves that adapt pool sizes to the preset and the current demand.

    A pool whose expected wait stays long gets instances of spare pools and of pools
    above their target size. A pool above its preset size releases an instance only if
    it had free slots and no waiting requests throughout the minimum stay, and if enough
    slots remain free without the instance. A brief drop in demand thus causes no move.

    Args:
        min_stay: Seconds for which an instance stays in a pool after a move.
        shortage_wait: Expected wait in seconds above which a pool is short of
            instances.
    """

    def __init__(self, min_stay: float, shortage_wait: float):
        self._min_stay = min_stay
        self._shortage_wait = shortage_wait
        self._short_rounds: Counter[str] = Counter()
        self._idle_since: dict[str, float] = {}

    def plan(
        self,
        configuration: Configuration,
        observations: FleetObservations,
        now: float,
    ) -> list[Move]:
        """Return the moves to start in this round.

        Args:
            configuration: Current configuration records.
            observations: Observed state of the fleet, including the pools' demand.
            now: Current time in seconds since the epoch.
        """
        self._update_history(configuration, observations, now)
        pending = count_pending_size_changes(configuration)
        sizes = {
            pool: len(configuration.pool_instances(pool)) + pending[pool]
            for pool in configuration.list_names(RecordKind.POOL)
        }
        targets = self._compute_target_sizes(configuration, observations, sizes, now)
        # Negative for a pool with more instances than its target size.
        missing = {pool: targets[pool] - size for pool, size in sizes.items()}
        return self._match_pools(configuration, missing, now)

    def _update_history(
        self,
        configuration: Configuration,
        observations: FleetObservations,
        now: float,
    ) -> None:
        for pool in configuration.list_names(RecordKind.POOL):
            demand = observations.demands.get(pool, PoolDemand())
            if demand.wait > self._shortage_wait:
                self._short_rounds[pool] += 1
            else:
                del self._short_rounds[pool]
            if demand.waiting or not demand.free_slots:
                self._idle_since.pop(pool, None)
            else:
                self._idle_since.setdefault(pool, now)

    def _compute_target_sizes(
        self,
        configuration: Configuration,
        observations: FleetObservations,
        sizes: dict[str, int],
        now: float,
    ) -> dict[str, int]:
        preset = configuration.preset_in_force()
        targets = {}
        for pool, size in sizes.items():
            target = preset.sizes.get(pool, size)
            if preset.moves and not self._is_spare(configuration, pool):
                demand = observations.demands.get(pool, PoolDemand())
                target = self._adjust_size(pool, size, target, demand, now)
            targets[pool] = target
        return targets

    def _adjust_size(
        self, pool: str, size: int, preset_size: int, demand: PoolDemand, now: float
    ) -> int:
        if self._short_rounds[pool] >= CONFIRMING_ROUNDS:
            # The pool must be short of instances for the same number of rounds again
            # before the next increase.
            self._short_rounds[pool] = 0
            excess = min(1.0, demand.wait / self._shortage_wait - 1)
            step = min(MOVES_PER_ROUND_LIMIT, ceil(max(1, size) * excess))
            return max(preset_size, size + step)
        if size <= preset_size:
            return preset_size
        idle_seconds = now - self._idle_since.get(pool, now)
        if idle_seconds < self._min_stay or not _can_release_instance(size, demand):
            return size
        return max(preset_size, size - 1)

    def _is_spare(self, configuration: Configuration, pool: str) -> bool:
        record = configuration.pool(pool)
        return record is not None and record.spare

    def _match_pools(
        self, configuration: Configuration, missing: dict[str, int], now: float
    ) -> list[Move]:
        moves: list[Move] = []
        for target in sorted(missing, key=lambda pool: missing[pool], reverse=True):
            for _ in range(missing[target]):
                move = self._find_move(configuration, missing, target, now, moves)
                if move is not None:
                    moves.append(move)
        return moves

    def _find_move(
        self,
        configuration: Configuration,
        missing: dict[str, int],
        target: str,
        now: float,
        planned: list[Move],
    ) -> Move | None:
        planned_names = {move.instance for move in planned}
        for source in sorted(missing, key=lambda pool: missing[pool]):
            spare = self._is_spare(configuration, source)
            if source == target or (missing[source] >= 0 and not spare):
                continue
            name = self._choose_instance(
                configuration, source, target, now, planned_names
            )
            if name is None:
                continue
            missing[source] += 1
            return Move(name, target, f"pool {target} needs instances of {source}")
        return None

    def _choose_instance(
        self,
        configuration: Configuration,
        source: str,
        target: str,
        now: float,
        planned_names: set[str],
    ) -> str | None:
        record = configuration.pool(target)
        needed = record.accelerators if record else 0
        movable = {
            name: instance
            for name, instance in configuration.pool_instances(source).items()
            if self._is_movable(instance, now, needed) and name not in planned_names
        }
        if not movable:
            return None
        zones = Counter(
            instance.zone for instance in configuration.pool_instances(target).values()
        )
        # Prefers the zone in which the target pool has the fewest instances, so that
        # the pool stays spread over its failure domains.
        return min(movable, key=lambda name: (zones[movable[name].zone], name))

    def _is_movable(self, instance: Instance, now: float, accelerators: int) -> bool:
        if instance.state is not InstanceState.SERVING:
            return False
        if instance.accelerators < accelerators:
            return False
        return now - instance.moved >= self._min_stay


def count_pending_size_changes(configuration: Configuration) -> Counter[str]:
    """Return by how many instances moves in progress will change each pool."""
    size_changes: Counter[str] = Counter()
    for pool in configuration.list_names(RecordKind.BUDGET):
        for name in configuration.budget(pool).unavailable:
            instance = configuration.instance(name)
            if instance is None or instance.cause is not DrainCause.MOVE:
                continue
            size_changes[instance.pool] -= 1
            if instance.target is not None:
                size_changes[instance.target] += 1
    return size_changes


def _can_release_instance(size: int, demand: PoolDemand) -> bool:
    # A quarter of the remaining slots must be free after the release.
    if size <= 1:
        return False
    remaining = demand.slots * (size - 1) / size
    used = demand.slots - demand.free_slots
    return used <= remaining * 0.75
