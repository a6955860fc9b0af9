"""Drives the shipped decisions with events in virtual time."""

from collections import Counter, defaultdict
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random

from jujubebarrow.benches.decisions import make_settings
from jujubebarrow.benches.demands import DemandShape
from jujubebarrow.benches.policies import Policy
from jujubebarrow.clocks.manual_clocks import ManualClock
from jujubebarrow.configurations.configurations import (
    CONFIGURATION_PREFIX,
    Configuration,
    row_key,
)
from jujubebarrow.configurations.instance_records import Instance
from jujubebarrow.configurations.instance_states import InstanceState
from jujubebarrow.configurations.maintenance_records import Maintenance
from jujubebarrow.configurations.pool_records import Pool
from jujubebarrow.configurations.preset_records import Preset
from jujubebarrow.configurations.priorities import Priority
from jujubebarrow.configurations.queue_records import Queue
from jujubebarrow.configurations.record_bases import Record
from jujubebarrow.configurations.record_kinds import RecordKind
from jujubebarrow.configurations.selection_records import Selection
from jujubebarrow.configurations.team_records import Team
from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.identifiers import KeyDigest, PoolId, QueueId, RequestId, TeamId
from jujubebarrow.invariants.monitors import InvariantMonitor
from jujubebarrow.limits.ledgers import LimitLedger
from jujubebarrow.maintenance.observations import FleetObservations, PoolDemand
from jujubebarrow.maintenance.planners import FleetPlanner
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.pools import move_planners
from jujubebarrow.pools.move_planners import MovePlanner
from jujubebarrow.queues.entries import Entry
from jujubebarrow.queues.pool_schedulers import PoolScheduler
from jujubebarrow.queues.starts import Start
from jujubebarrow.routes.upstream_sets import UpstreamSet
from jujubebarrow.standins.tables import Table
from jujubebarrow.stores.transactions import Transaction

TICK_SECONDS = 1.0
REBOOT_SECONDS = 3.0
WINDOW_SECONDS = 10.0
LIMIT = 10_000
SPARE = "admin"
WAVE_START_SECONDS = 10.0


class Simulation:
    """One fleet under one demand and one policy.

    Args:
        shape: Deployment and demand.
        policy: Policy.
        seed: Seed of arrivals and run times.
        maintain: Whether a maintenance wave runs.
    """

    def __init__(self, shape: DemandShape, policy: Policy, seed: int, maintain: bool):
        self.shape = shape
        self.policy = policy
        self.clock = ManualClock(0.0)
        self.random = Random(seed)
        self.waits: list[float] = []
        self.refusals: Counter[str] = Counter()
        self.moves = 0
        self.wave_end: float | None = None
        self.idle_slot_seconds = 0.0
        self.offered: dict[tuple[str, int], Counter[str]] = defaultdict(Counter)
        self.served: dict[tuple[str, int], Counter[str]] = defaultdict(Counter)
        self.capacity: dict[tuple[str, int], float] = defaultdict(float)
        self._maintain = maintain
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._serials = count()
        self._run_times: dict[Entry, float] = {}
        self._rebooted: dict[str, float] = {}
        self._build()

    def _build(self) -> None:
        metrics = MetricsRegistry()
        monitor = InvariantMonitor(metrics)
        self.table = Table()
        self.configuration = Configuration(metrics, monitor)
        for (kind, name), record in self._records().items():
            self._write(kind, name, record)
        self._sync()
        ledger = LimitLedger(self.configuration, self.clock, monitor, 1, 0.0, "sim")
        ledger.add_seat(0, 0.0)
        hold = self.shape.hold if self.policy.hysteresis else 0.0
        self._planner = FleetPlanner(MovePlanner(hold, 1.0), metrics)
        settings = make_settings()
        self.schedulers: dict[str, PoolScheduler] = {}
        for pool in self.shape.pools:
            upstreams = UpstreamSet(self.clock, 5, 5.0)
            self.schedulers[pool] = self.policy.scheduler(
                PoolId(pool),
                self.configuration,
                ledger,
                upstreams,
                self.clock,
                settings,
                lambda: True,
            )
        self._update_upstreams()

    def _records(self) -> dict[tuple[RecordKind, str], Record]:
        shape = self.shape
        records: dict[tuple[RecordKind, str], Record] = {}
        sizes = dict.fromkeys(shape.pools, shape.workers) | {SPARE: shape.spare_workers}
        for number, (pool, size) in enumerate(sizes.items()):
            spare = pool == SPARE
            limit = size if spare else shape.unavailable_limit
            records[RecordKind.POOL, pool] = Pool(unavailable_limit=limit, spare=spare)
            for worker in range(size):
                records[RecordKind.INSTANCE, f"{pool}-{worker}"] = Instance(
                    pool=pool,
                    zone=f"zone-{worker % 3}",
                    rack=f"rack-{worker % 3}-{worker // 4}",
                    address=f"10.0.{number}.{worker + 1}:80",
                    slots=shape.slots,
                )
        for pool in shape.pools:
            queue = Queue(pool=pool, run_time=shape.run_time)
            records[RecordKind.QUEUE, pool] = queue
        for team, share in zip(shape.teams, shape.shares, strict=True):
            records[RecordKind.TEAM, team] = Team(share=share, limit=LIMIT)
        preset = Preset(
            sizes=sizes, maintenance=self._maintain, moves=self.policy.moves
        )
        records[RecordKind.PRESET, "ordinary"] = preset
        records[RecordKind.SELECTION, "preset"] = Selection(preset="ordinary")
        return records

    def _write(self, kind: RecordKind, name: str, record: Record) -> None:
        value = record.model_dump(mode="json")
        writes = {row_key(kind, name): value}
        self.table.commit(Transaction(writes=writes, nonce="simulation"))

    def _sync(self) -> None:
        since = self.configuration.revision
        self.configuration.apply(self.table.changes(CONFIGURATION_PREFIX, since).rows)

    def _update_upstreams(self) -> None:
        for pool, scheduler in self.schedulers.items():
            instances = self.configuration.pool_instances(pool)
            scheduler.upstreams.update(instances, frozenset())
            self._pump(scheduler)

    def run(self, seconds: float) -> "Simulation":
        """Run for some virtual seconds and return the simulation."""
        for pool in self.shape.pools:
            self._plan_arrival(pool)
        self._at(TICK_SECONDS, self._tick)
        if self._maintain:
            self._at(WAVE_START_SECONDS, self._start_wave)
        while self._events and self._events[0][0] <= seconds:
            time, _, event = heappop(self._events)
            self.clock.advance(time - self.clock.monotonic())
            event()
        return self

    def _at(self, time: float, event: Callable[[], None]) -> None:
        heappush(self._events, (time, next(self._serials), event))

    def _plan_arrival(self, pool: str) -> None:
        now = self.clock.monotonic()
        # Thinning: candidates at the highest rate, kept by the present one.
        highest = self.shape.rate(pool, self.shape.pools.index(pool) * self.shape.burst)
        time = now + self.random.expovariate(highest)
        self._at(time, lambda: self._arrive(pool, highest))

    def _arrive(self, pool: str, highest: float) -> None:
        self._plan_arrival(pool)
        now = self.clock.monotonic()
        if self.random.random() >= self.shape.rate(pool, now) / highest:
            return
        entry = self._make_entry(pool, self.shape.choose_team(self.random))
        run_time = self.random.expovariate(1 / self.shape.run_time)
        self._run_times[entry] = run_time
        # What is asked for counts where it would run if nobody else asked.
        self._spread(self.offered, entry, now, now + run_time)
        scheduler = self.schedulers[pool]
        try:
            scheduler.admit(entry)
        except RefusalError as error:
            self.refusals[error.kind.value] += 1
            return
        scheduler.enqueue(entry)
        self._at(entry.deadline, lambda: self._expire(scheduler, entry))
        self._pump(scheduler)

    def _make_entry(self, pool: str, team: str) -> Entry:
        now = self.clock.monotonic()
        return Entry(
            request=RequestId(str(next(self._serials))),
            pool=PoolId(pool),
            queue=QueueId(pool),
            team=TeamId(team),
            key=KeyDigest(""),
            priority=Priority.INTERACTIVE,
            idempotent=True,
            arrived=now,
            deadline=now + self.shape.deadline,
        )

    def _expire(self, scheduler: PoolScheduler, entry: Entry) -> None:
        if scheduler.remove(entry):
            self.refusals["deadline-passed"] += 1

    def _pump(self, scheduler: PoolScheduler) -> None:
        while (start := scheduler.start_next()) is not None:
            now = self.clock.monotonic()
            self.waits.append(now - start.entry.arrived)
            end = now + self._run_times.pop(start.entry)
            self._spread(self.served, start.entry, now, end)
            self._at(end, lambda start=start, t=end - now: self._end(start, t))

    def _spread(
        self,
        amounts: dict[tuple[str, int], Counter[str]],
        entry: Entry,
        now: float,
        end: float,
    ) -> None:
        """Share work out over the windows in which it runs."""
        while now < end:
            window = int(now / WINDOW_SECONDS)
            until = min(end, (window + 1) * WINDOW_SECONDS)
            amounts[entry.pool, window][entry.team] += until - now  # type: ignore[assignment]
            now = until

    def _end(self, start: Start, seconds: float) -> None:
        scheduler = self.schedulers[start.entry.pool]
        scheduler.finish(start)
        scheduler.observe(start.entry.queue, seconds)
        self._pump(scheduler)

    def _tick(self) -> None:
        now = self.clock.monotonic()
        self._at(now + TICK_SECONDS, self._tick)
        for pool, scheduler in self.schedulers.items():
            slots = scheduler.upstreams.slots
            self.capacity[pool, int(now / WINDOW_SECONDS)] += slots * TICK_SECONDS
            self.idle_slot_seconds += scheduler.free_slots * TICK_SECONDS
        spare = len(self.configuration.pool_instances(SPARE)) * self.shape.slots
        self.idle_slot_seconds += spare * TICK_SECONDS
        self._control()

    def _control(self) -> None:
        if not self.policy.hysteresis:
            # A policy that acts on every reading.
            self._planner._moves._short_rounds.update(
                dict.fromkeys(self.shape.pools, move_planners.CONFIRMING_ROUNDS)
            )
        now = self.clock.monotonic()
        changes = self._planner.plan(self.configuration, self._observe(), now)
        for change in changes:
            if self._is_held_back(change.reason):
                continue
            transaction = change.make_transaction({}, change.reason)
            if not self.table.commit(transaction).nonces:
                self.moves += change.reason.startswith("moved")
                self._sync()
        self._update_upstreams()
        self._watch_wave()

    def _is_held_back(self, reason: str) -> bool:
        if self.policy.parallel or not reason.startswith("maintenance"):
            return False
        # The baseline maintains one instance of the fleet at a time.
        return any(
            self.configuration.budget(pool).unavailable
            for pool in self.configuration.names(RecordKind.BUDGET)
        )

    def _observe(self) -> FleetObservations:
        observations = FleetObservations()
        now = self.clock.monotonic()
        for pool, scheduler in self.schedulers.items():
            observations.demands[pool] = PoolDemand(
                scheduler.upstreams.slots,
                scheduler.free_slots,
                scheduler.waiting,
                scheduler.pool_wait(),
            )
        for pool in self.configuration.names(RecordKind.BUDGET):
            for name in self.configuration.budget(pool).unavailable:
                self._observe_instance(observations, name, now)
        return observations

    def _observe_instance(
        self, observations: FleetObservations, name: str, now: float
    ) -> None:
        instance = self.configuration.instance(name)
        if instance is None:
            return
        if instance.state is InstanceState.DRAINING:
            if not self._runs_work(instance.pool, name):
                observations.drained.add(name)
        elif instance.state is InstanceState.REBOOTING:
            since = self._rebooted.setdefault(name, now)
            if now - since >= REBOOT_SECONDS:
                observations.rebooted.add(name)
                del self._rebooted[name]

    def _runs_work(self, pool: str, name: str) -> bool:
        if pool not in self.schedulers:
            return False
        members = self.schedulers[pool].upstreams.members
        return any(m.upstream == name and m.running for m in members)

    def _start_wave(self) -> None:
        wave = Maintenance(started=self.clock.wall(), failure_limit=3)
        self._write(RecordKind.MAINTENANCE, "wave", wave)
        self._sync()

    def _watch_wave(self) -> None:
        if self.wave_end is not None or "wave" not in self.configuration.waves():
            return
        started = self.configuration.waves()["wave"].started
        names = self.configuration.names(RecordKind.INSTANCE)
        records = [self.configuration.instance(name) for name in names]
        if all(record and record.maintained >= started for record in records):
            self.wave_end = self.clock.monotonic() - started
