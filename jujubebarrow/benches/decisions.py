"""Time and memory of scheduling and planning decisions by size of the fleet."""

import gc
import time
import tracemalloc
from statistics import median

from jujubebarrow.clocks.manual_clocks import ManualClock
from jujubebarrow.configurations.configurations import Configuration, row_key
from jujubebarrow.configurations.instance_records import Instance
from jujubebarrow.configurations.maintenance_records import Maintenance
from jujubebarrow.configurations.pool_records import Pool
from jujubebarrow.configurations.preset_records import Preset
from jujubebarrow.configurations.priorities import Priority
from jujubebarrow.configurations.queue_records import Queue
from jujubebarrow.configurations.record_bases import Record
from jujubebarrow.configurations.record_kinds import RecordKind
from jujubebarrow.configurations.selection_records import Selection
from jujubebarrow.configurations.team_records import Team
from jujubebarrow.identifiers import KeyDigest, PoolId, QueueId, RequestId, TeamId
from jujubebarrow.invariants.monitors import InvariantMonitor
from jujubebarrow.limits.ledgers import LimitLedger
from jujubebarrow.maintenance.observations import FleetObservations
from jujubebarrow.maintenance.planners import FleetPlanner
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.pools.move_planners import MovePlanner
from jujubebarrow.queues.entries import Entry
from jujubebarrow.queues.pool_schedulers import PoolScheduler
from jujubebarrow.routes.upstream_sets import UpstreamSet
from jujubebarrow.settings.loaders import check_settings
from jujubebarrow.settings.settings import Settings
from jujubebarrow.stores.rows import Row

ROUND_COUNT = 7
STARTS_PER_ROUND_COUNT = 400
POOL_COUNT = 74
TEAM_TASK_LIMIT = 100_000


def make_settings() -> Settings:
    """Return the settings of an entry instance that opens no sockets."""
    return check_settings(
        {
            "instance": "entry-0",
            "zone": "zone-a",
            "address": "127.0.0.1",
            "caller_port": 1,
            "operator_port": 2,
            "peer_port": 3,
            "platform_url": "http://127.0.0.1:4",
            "peer_secret": "secret of decisions",
            "operator_key_digest": "0" * 64,
        }
    )


def make_configuration(
    records: dict[tuple[RecordKind, str], Record],
) -> Configuration:
    """Return a configuration that holds the given records."""
    metrics = MetricsRegistry()
    configuration = Configuration(metrics, InvariantMonitor(metrics))
    rows = [
        Row(key=row_key(kind, name), revision=number, value=record.model_dump())
        for number, ((kind, name), record) in enumerate(records.items(), 1)
    ]
    configuration.apply(rows)
    return configuration


def make_instance(pool: str, number: int) -> Instance:
    """Return an instance record whose rack and address follow from the number."""
    return Instance(
        pool=pool,
        zone="zone-a",
        rack=f"rack-{number // 4}",
        address=f"10.0.{number // 250}.{number % 250 + 1}:80",
    )


def time_scheduling(worker_count: int, team_count: int) -> float:
    """Return the median seconds taken to admit, enqueue, start and finish a request.

    Each team has a waiting request during the measurement.
    """
    scheduler, entries = _make_scheduler(worker_count, team_count)
    times = []
    for _ in range(ROUND_COUNT):
        for entry in entries[:team_count]:
            scheduler.enqueue(entry)
        start = time.perf_counter()
        for number in range(STARTS_PER_ROUND_COUNT):
            entry = entries[number % len(entries)]
            scheduler.check_admission(entry)
            scheduler.enqueue(entry)
            chosen = scheduler.start_next()
            assert chosen is not None
            scheduler.finish(chosen)
        times.append((time.perf_counter() - start) / STARTS_PER_ROUND_COUNT)
        for entry in scheduler.entries():
            scheduler.remove(entry)
    return median(times)


def _make_scheduler(
    worker_count: int, team_count: int
) -> tuple[PoolScheduler, list[Entry]]:
    records: dict[tuple[RecordKind, str], Record] = {
        (RecordKind.TEAM, f"team-{n}"): Team(limit=TEAM_TASK_LIMIT)
        for n in range(team_count)
    }
    records[RecordKind.QUEUE, "labels"] = Queue(pool="labels")
    instances = {f"w-{n}": make_instance("labels", n) for n in range(worker_count)}
    configuration = make_configuration(records)
    clock = ManualClock()
    metrics = MetricsRegistry()
    monitor = InvariantMonitor(metrics)
    ledger = LimitLedger(configuration, clock, monitor, 1, 0.0, "bench")
    ledger.add_seat(0, 0.0)
    upstreams = UpstreamSet(clock, 5, 5.0)
    upstreams.update(instances, frozenset())
    scheduler = PoolScheduler(
        PoolId("labels"),
        configuration,
        ledger,
        upstreams,
        clock,
        make_settings(),
        lambda: True,
    )
    entries = [_make_entry(f"team-{number}", clock) for number in range(team_count)]
    return scheduler, entries


def _make_entry(team: str, clock: ManualClock) -> Entry:
    return Entry(
        request=RequestId(team),
        pool=PoolId("labels"),
        queue=QueueId("labels"),
        team=TeamId(team),
        key=KeyDigest(""),
        priority=Priority.INTERACTIVE,
        idempotent=True,
        arrived=clock.monotonic(),
        deadline=clock.monotonic() + 1000,
    )


def time_planning_round(instance_count: int) -> float:
    """Return the median seconds of a planning round during a maintenance wave."""
    records: dict[tuple[RecordKind, str], Record] = {
        (RecordKind.POOL, f"pool-{n}"): Pool(unavailable_limit=1)
        for n in range(POOL_COUNT)
    }
    for number in range(instance_count):
        record = make_instance(f"pool-{number % POOL_COUNT}", number)
        records[RecordKind.INSTANCE, f"i-{number}"] = record
    records[RecordKind.PRESET, "ordinary"] = Preset(maintenance=True)
    records[RecordKind.SELECTION, "preset"] = Selection(preset="ordinary")
    records[RecordKind.MAINTENANCE, "week"] = Maintenance(started=1.0)
    configuration = make_configuration(records)
    planner = FleetPlanner(MovePlanner(20.0, 1.0), MetricsRegistry())
    times = []
    for _ in range(ROUND_COUNT):
        start = time.perf_counter()
        planner.plan(configuration, FleetObservations(), 1000.0)
        times.append(time.perf_counter() - start)
    return median(times)


def measure_configuration_bytes(instance_count: int) -> float:
    """Return the memory used by a configuration of instance records, in bytes."""
    tracemalloc.start()
    configuration = make_configuration(
        {
            (RecordKind.INSTANCE, f"i-{number}"): make_instance(
                f"pool-{number % POOL_COUNT}", number
            )
            for number in range(instance_count)
        }
    )
    gc.collect()
    traced_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(configuration.list_names(RecordKind.INSTANCE)) == instance_count
    return float(traced_bytes)
