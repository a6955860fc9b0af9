"""Discrete-event simulation of the schedulers and the fleet planner."""

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
TEAM_TASK_LIMIT = 10_000
SPARE_POOL = "admin"
WAVE_START_SECONDS = 10.0


class Simulation:
    """Simulation of one fleet under one demand and one policy, in virtual time.

    Args:
        shape: Deployment and demand of the fleet.
        policy: Policy that the schedulers and the fleet planner follow.
        seed: Seed of the arrival times, teams and run times.
        has_wave: Whether a maintenance wave starts during the simulation.

    Attributes:
        waits: Seconds that each started request had waited.
        refusals: Number of refused requests by kind.
        moves: Number of instance moves between pools.
        wave_duration: Duration of the maintenance wave in seconds; None until the wave
            has ended.
        schedulers: Scheduler of each pool except the spare pool.
        idle_slot_seconds: Seconds that slots were unused, summed over all slots.
        demanded_slot_seconds: Slot seconds that each team's requests would use if
            each request started on arrival, by pool and window.
        served_slot_seconds: Slot seconds that each team used, by pool and window.
        capacity_slot_seconds: Slot seconds in service, by pool and window.
    """

    def __init__(self, shape: DemandShape, policy: Policy, seed: int, has_wave: bool):
        self.shape = shape
        self.policy = policy
        self.clock = ManualClock(0.0)
        self.random = Random(seed)
        self.waits: list[float] = []
        self.refusals: Counter[str] = Counter()
        self.moves = 0
        self.wave_duration: float | None = None
        self.idle_slot_seconds = 0.0
        self.demanded_slot_seconds: dict[tuple[str, int], Counter[str]] = defaultdict(
            Counter
        )
        self.served_slot_seconds: dict[tuple[str, int], Counter[str]] = defaultdict(
            Counter
        )
        self.capacity_slot_seconds: dict[tuple[str, int], float] = defaultdict(float)
        self._has_wave = has_wave
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = count()
        self._run_times: dict[Entry, float] = {}
        self._reboot_started_at: dict[str, float] = {}
        self._build_fleet()

    def _build_fleet(self) -> None:
        metrics = MetricsRegistry()
        monitor = InvariantMonitor(metrics)
        self.table = Table()
        self.configuration = Configuration(metrics, monitor)
        for (kind, name), record in self._make_records().items():
            self._write_record(kind, name, record)
        self._apply_table_changes()
        ledger = LimitLedger(self.configuration, self.clock, monitor, 1, 0.0, "sim")
        ledger.add_seat(0, 0.0)
        min_stay = self.shape.min_stay if self.policy.has_hysteresis else 0.0
        self._planner = FleetPlanner(MovePlanner(min_stay, 1.0), metrics)
        settings = make_settings()
        self.schedulers: dict[str, PoolScheduler] = {}
        for pool in self.shape.pools:
            upstreams = UpstreamSet(self.clock, 5, 5.0)
            self.schedulers[pool] = self.policy.scheduler_type(
                PoolId(pool),
                self.configuration,
                ledger,
                upstreams,
                self.clock,
                settings,
                lambda: True,
            )
        self._update_upstreams()

    def _make_records(self) -> dict[tuple[RecordKind, str], Record]:
        shape = self.shape
        records: dict[tuple[RecordKind, str], Record] = {}
        sizes = dict.fromkeys(shape.pools, shape.workers) | {
            SPARE_POOL: shape.spare_workers
        }
        for number, (pool, size) in enumerate(sizes.items()):
            is_spare = pool == SPARE_POOL
            limit = size if is_spare else shape.unavailable_limit
            records[RecordKind.POOL, pool] = Pool(
                unavailable_limit=limit, spare=is_spare
            )
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
            records[RecordKind.TEAM, team] = Team(share=share, limit=TEAM_TASK_LIMIT)
        preset = Preset(
            sizes=sizes, maintenance=self._has_wave, moves=self.policy.has_moves
        )
        records[RecordKind.PRESET, "ordinary"] = preset
        records[RecordKind.SELECTION, "preset"] = Selection(preset="ordinary")
        return records

    def _write_record(self, kind: RecordKind, name: str, record: Record) -> None:
        value = record.model_dump(mode="json")
        writes = {row_key(kind, name): value}
        self.table.commit(Transaction(writes=writes, nonce="simulation"))

    def _apply_table_changes(self) -> None:
        since = self.configuration.revision
        self.configuration.apply(self.table.changes(CONFIGURATION_PREFIX, since).rows)

    def _update_upstreams(self) -> None:
        for pool, scheduler in self.schedulers.items():
            instances = self.configuration.pool_instances(pool)
            scheduler.upstreams.update(instances, frozenset())
            self._start_requests(scheduler)

    def run(self, seconds: float) -> "Simulation":
        """Run for the given virtual seconds and return the simulation itself."""
        for pool in self.shape.pools:
            self._schedule_arrival(pool)
        self._schedule(TICK_SECONDS, self._run_tick)
        if self._has_wave:
            self._schedule(WAVE_START_SECONDS, self._start_wave)
        while self._events and self._events[0][0] <= seconds:
            time, _, event = heappop(self._events)
            self.clock.advance(time - self.clock.monotonic())
            event()
        return self

    def _schedule(self, time: float, event: Callable[[], None]) -> None:
        heappush(self._events, (time, next(self._sequence_numbers), event))

    def _schedule_arrival(self, pool: str) -> None:
        now = self.clock.monotonic()
        # Arrivals follow a Poisson process of variable rate, generated by thinning:
        # candidates arrive at the peak rate, and each is accepted with the
        # probability of the current rate divided by the peak rate.
        peak_rate = self.shape.arrival_rate(
            pool, self.shape.pools.index(pool) * self.shape.peak_duration
        )
        time = now + self.random.expovariate(peak_rate)
        self._schedule(time, lambda: self._handle_arrival(pool, peak_rate))

    def _handle_arrival(self, pool: str, peak_rate: float) -> None:
        self._schedule_arrival(pool)
        now = self.clock.monotonic()
        if self.random.random() >= self.shape.arrival_rate(pool, now) / peak_rate:
            return
        entry = self._make_entry(pool, self.shape.choose_team(self.random))
        run_time = self.random.expovariate(1 / self.shape.run_time)
        self._run_times[entry] = run_time
        # The demand is added to the windows in which the task would run if the task
        # started on arrival.
        self._add_slot_seconds(self.demanded_slot_seconds, entry, now, now + run_time)
        scheduler = self.schedulers[pool]
        try:
            scheduler.check_admission(entry)
        except RefusalError as error:
            self.refusals[error.kind.value] += 1
            return
        scheduler.enqueue(entry)
        self._schedule(entry.deadline, lambda: self._expire_request(scheduler, entry))
        self._start_requests(scheduler)

    def _make_entry(self, pool: str, team: str) -> Entry:
        now = self.clock.monotonic()
        return Entry(
            request=RequestId(str(next(self._sequence_numbers))),
            pool=PoolId(pool),
            queue=QueueId(pool),
            team=TeamId(team),
            key=KeyDigest(""),
            priority=Priority.INTERACTIVE,
            idempotent=True,
            arrived=now,
            deadline=now + self.shape.request_timeout,
        )

    def _expire_request(self, scheduler: PoolScheduler, entry: Entry) -> None:
        if scheduler.remove(entry):
            self.refusals["deadline-passed"] += 1

    def _start_requests(self, scheduler: PoolScheduler) -> None:
        while (start := scheduler.start_next()) is not None:
            now = self.clock.monotonic()
            self.waits.append(now - start.entry.arrived)
            end = now + self._run_times.pop(start.entry)
            self._add_slot_seconds(self.served_slot_seconds, start.entry, now, end)
            self._schedule(
                end,
                lambda start=start, seconds=end - now: self._finish_task(
                    start, seconds
                ),
            )

    def _add_slot_seconds(
        self,
        slot_seconds: dict[tuple[str, int], Counter[str]],
        entry: Entry,
        now: float,
        end: float,
    ) -> None:
        """Divide a task's slot seconds among the windows in which the task runs."""
        while now < end:
            window = int(now / WINDOW_SECONDS)
            window_end = min(end, (window + 1) * WINDOW_SECONDS)
            slot_seconds[entry.pool, window][entry.team] += window_end - now  # type: ignore[assignment]
            now = window_end

    def _finish_task(self, start: Start, seconds: float) -> None:
        scheduler = self.schedulers[start.entry.pool]
        scheduler.finish(start)
        scheduler.record_run_time(start.entry.queue, seconds)
        self._start_requests(scheduler)

    def _run_tick(self) -> None:
        now = self.clock.monotonic()
        self._schedule(now + TICK_SECONDS, self._run_tick)
        for pool, scheduler in self.schedulers.items():
            slots = scheduler.upstreams.slots
            self.capacity_slot_seconds[pool, int(now / WINDOW_SECONDS)] += (
                slots * TICK_SECONDS
            )
            self.idle_slot_seconds += scheduler.free_slots * TICK_SECONDS
        spare_slots = (
            len(self.configuration.pool_instances(SPARE_POOL)) * self.shape.slots
        )
        self.idle_slot_seconds += spare_slots * TICK_SECONDS
        self._run_planning_round()

    def _run_planning_round(self) -> None:
        if not self.policy.has_hysteresis:
            # Setting the planner's counts of consecutive rounds of shortage to the
            # threshold makes a single round of shortage suffice for a move.
            self._planner._moves._short_rounds.update(
                dict.fromkeys(self.shape.pools, move_planners.CONFIRMING_ROUNDS)
            )
        now = self.clock.monotonic()
        changes = self._planner.plan(self.configuration, self._make_observations(), now)
        for change in changes:
            if self._is_deferred(change.reason):
                continue
            transaction = change.make_transaction({}, change.reason)
            if not self.table.commit(transaction).nonces:
                self.moves += change.reason.startswith("moved")
                self._apply_table_changes()
        self._update_upstreams()
        self._record_wave_end()

    def _is_deferred(self, reason: str) -> bool:
        if self.policy.has_parallel_maintenance or not reason.startswith("maintenance"):
            return False
        # Without parallel maintenance, no change of a maintenance wave starts while any
        # instance of the fleet is unavailable.
        return any(
            self.configuration.budget(pool).unavailable
            for pool in self.configuration.list_names(RecordKind.BUDGET)
        )

    def _make_observations(self) -> FleetObservations:
        observations = FleetObservations()
        now = self.clock.monotonic()
        for pool, scheduler in self.schedulers.items():
            observations.demands[pool] = PoolDemand(
                scheduler.upstreams.slots,
                scheduler.free_slots,
                scheduler.waiting,
                scheduler.pool_wait(),
            )
        for pool in self.configuration.list_names(RecordKind.BUDGET):
            for name in self.configuration.budget(pool).unavailable:
                self._add_instance_state(observations, name, now)
        return observations

    def _add_instance_state(
        self, observations: FleetObservations, name: str, now: float
    ) -> None:
        instance = self.configuration.instance(name)
        if instance is None:
            return
        if instance.state is InstanceState.DRAINING:
            if not self._has_running_tasks(instance.pool, name):
                observations.drained.add(name)
        elif instance.state is InstanceState.REBOOTING:
            started_at = self._reboot_started_at.setdefault(name, now)
            if now - started_at >= REBOOT_SECONDS:
                observations.rebooted.add(name)
                del self._reboot_started_at[name]

    def _has_running_tasks(self, pool: str, name: str) -> bool:
        if pool not in self.schedulers:
            return False
        members = self.schedulers[pool].upstreams.members
        return any(member.upstream == name and member.running for member in members)

    def _start_wave(self) -> None:
        wave = Maintenance(started=self.clock.wall(), failure_limit=3)
        self._write_record(RecordKind.MAINTENANCE, "wave", wave)
        self._apply_table_changes()

    def _record_wave_end(self) -> None:
        if self.wave_duration is not None or "wave" not in self.configuration.waves():
            return
        started = self.configuration.waves()["wave"].started
        names = self.configuration.list_names(RecordKind.INSTANCE)
        records = [self.configuration.instance(name) for name in names]
        if all(record and record.maintained >= started for record in records):
            self.wave_duration = self.clock.monotonic() - started
