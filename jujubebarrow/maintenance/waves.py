"""Choice of the next instances to drain in a maintenance wave."""

from collections import defaultdict

from jujubebarrow.configurations.configurations import Configuration
from jujubebarrow.configurations.instance_records import Instance
from jujubebarrow.configurations.instance_states import InstanceState
from jujubebarrow.configurations.maintenance_records import Maintenance
from jujubebarrow.configurations.record_kinds import RecordKind
from jujubebarrow.maintenance.observations import FleetObservations

BUSY_WAIT_SECONDS = 0.5
"""Expected wait of a pool's requests above which maintenance drains no instance of the
pool."""


def find_pending_instances(
    configuration: Configuration, wave: Maintenance
) -> dict[str, Instance]:
    """Return the instances whose maintenance in a wave is not yet done."""
    pools = wave.pools or configuration.list_names(RecordKind.POOL)
    return {
        name: instance
        for pool in pools
        for name, instance in configuration.pool_instances(pool).items()
        if instance.maintained < wave.started
    }


def has_too_many_failures(
    configuration: Configuration, wave: Maintenance, observations: FleetObservations
) -> bool:
    """Return whether failures in a wave's pools have reached its failure limit."""
    pools = wave.pools or configuration.list_names(RecordKind.POOL)
    failed = [
        name
        for pool in pools
        for name, instance in configuration.pool_instances(pool).items()
        if instance.state is InstanceState.FAILED or name in observations.unreachable
    ]
    return len(failed) >= wave.failure_limit


def choose_candidates(
    configuration: Configuration, wave: Maintenance, observations: FleetObservations
) -> list[str]:
    """Return the instances to drain next, in order.

    A pool is skipped while its expected wait is longer than `BUSY_WAIT_SECONDS`. In
    each other pool, one rack is completed before the next rack begins.
    """
    pending = find_pending_instances(configuration, wave)
    racks: dict[str, dict[str, list[str]]] = defaultdict(lambda: defaultdict(list))
    for name, instance in pending.items():
        racks[instance.pool][instance.rack].append(name)
    chosen = []
    for pool in sorted(racks):
        if _is_busy(observations, pool):
            continue
        rack = _choose_rack(configuration, racks[pool], pool)
        chosen.extend(sorted(_filter_serving(racks[pool][rack], pending)))
    return chosen


def _is_busy(observations: FleetObservations, pool: str) -> bool:
    demand = observations.demands.get(pool)
    return demand is not None and demand.wait > BUSY_WAIT_SECONDS


def _choose_rack(
    configuration: Configuration, racks: dict[str, list[str]], pool: str
) -> str:
    racks_with_drains = {
        instance.rack
        for instance in configuration.pool_instances(pool).values()
        if instance.state in (InstanceState.DRAINING, InstanceState.REBOOTING)
    }
    started = sorted(racks_with_drains & racks.keys())
    return started[0] if started else min(racks)


def _filter_serving(names: list[str], instances: dict[str, Instance]) -> list[str]:
    return [name for name in names if instances[name].state is InstanceState.SERVING]
