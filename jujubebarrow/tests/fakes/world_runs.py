"""Run of a simulated cluster under load and faults, with checks after recovery."""

from asyncio import create_task, sleep
from dataclasses import dataclass

from loguru import logger

from jujubebarrow.configurations.maintenance_records import Maintenance
from jujubebarrow.configurations.preset_records import Preset
from jujubebarrow.configurations.priorities import Priority
from jujubebarrow.configurations.queue_records import Queue
from jujubebarrow.configurations.record_kinds import RecordKind
from jujubebarrow.configurations.team_records import Team
from jujubebarrow.tests.fakes.virtual_loops import run_virtual
from jujubebarrow.tests.fakes.world_callers import Call, WorldCallers
from jujubebarrow.tests.fakes.worlds import World

QUEUES = {
    # The declared run times are far too short (labels) or too long (certificates).
    "labels": Queue(pool="labels", run_time=0.005),
    "verify": Queue(pool="labels", open=True),
    "certificates": Queue(pool="certificates", idempotent=False, run_time=2.0),
    "overnight": Queue(pool="labels", priority=Priority.OVERNIGHT),
    "huge": Queue(pool="labels", priority=Priority.OVERNIGHT, cores=64),
}
TEAMS = {
    "tuna": Team(share=2, limit=8),
    "reef": Team(share=1, limit=5),
    "prawn": Team(share=1, limit=3),
}
STREAMS = [
    ("labels", "tuna"),
    ("labels", "reef"),
    ("labels", "prawn"),
    ("certificates", "tuna"),
    ("certificates", "reef"),
    ("certificates", "prawn"),
    ("verify", ""),
    ("overnight", "tuna"),
    ("overnight", "prawn"),
    ("huge", "reef"),
]
WARM_UP_SECONDS = 4.0
FAULT_SECONDS = 30.0
RECOVERY_SECONDS = 90.0
REQUEST_RATE = 8.0


@dataclass(frozen=True)
class Fault:
    """Fault of a schedule.

    Attributes:
        at: Time in seconds from the end of the warm-up to the start of the fault.
        kind: Name of the method that injects the fault, without the underscore.
        target: Index that selects the affected host, zone, worker or team.
        length: Duration of the fault in seconds.
    """

    at: float
    kind: str
    target: int
    length: float


FAULT_KINDS = (
    "kill",
    "replace",
    "freeze",
    "cut_platform",
    "cut_zone",
    "isolate_zone",
    "platform_down",
    "lose_answers",
    "late_writes",
    "slow_store",
    "lose_replies",
    "worker_down",
    "worker_freeze",
    "worker_fail",
    "worker_truncate",
    "worker_leaves",
    "kill_zone",
    "lower_limit",
    "withdraw_key",
    "maintain",
    "switch_preset",
)


class WorldRun:
    """Simulates a cluster under load and one schedule of faults.

    Attributes:
        world: Simulated cluster.
        callers: Callers that send requests to the cluster.
    """

    def __init__(self, seed: int, faults: list[Fault], run_time: float = 0.1):
        self.world = World(seed, run_time=run_time)
        self.callers = WorldCallers(self.world)
        self._faults = sorted(faults, key=lambda fault: fault.at)

    def run(self) -> "WorldRun":
        logger.disable("jujubebarrow")
        run_virtual(self._simulate())
        return self

    async def open(self) -> None:
        """Start all hosts with a configuration and a key for each team."""
        await self.world.open(self.world.make_team_records(TEAMS, QUEUES))
        for team in TEAMS:
            self.world.grant_key(team, f"key of {team}")

    async def _simulate(self) -> None:
        world = self.world
        await self.open()
        await sleep(WARM_UP_SECONDS)
        load = create_task(self.callers.send(STREAMS, FAULT_SECONDS, REQUEST_RATE))
        injections = [create_task(self._inject_fault(fault)) for fault in self._faults]
        await load
        for injection in injections:
            await injection
        self._clear_faults()
        await self.callers.finish()
        await sleep(RECOVERY_SECONDS)
        self._check_final_state()
        for host in world.live_hosts():
            world.kill(host)

    async def _inject_fault(self, fault: Fault) -> None:
        await sleep(fault.at)
        await getattr(self, f"_{fault.kind}")(fault)

    def _pick_host(self, fault: Fault):
        hosts = list(self.world.hosts.values())
        return hosts[fault.target % len(hosts)]

    def _pick_zone(self, fault: Fault) -> str:
        return self.world.zones[fault.target % len(self.world.zones)]

    def _pick_worker(self, fault: Fault):
        workers = self.world.all_workers
        return workers[fault.target % len(workers)]

    def _pick_team(self, fault: Fault) -> str:
        return list(TEAMS)[fault.target % len(TEAMS)]

    async def _kill(self, fault: Fault) -> None:
        host = self._pick_host(fault)
        self.world.kill(host)
        await sleep(fault.length)
        if host.node is None:
            await self.world.start_host(host)

    async def _replace(self, fault: Fault) -> None:
        """Terminate an instance and remove it from the list; start it again later."""
        host = self._pick_host(fault)
        self.world.kill(host)
        self.world.platform.listing.pop(host.name, None)
        await sleep(fault.length + 12)
        self.world.platform.listing[host.name] = "live"
        if host.node is None:
            await self.world.start_host(host)

    async def _kill_zone(self, fault: Fault) -> None:
        zone = self._pick_zone(fault)
        hosts = [host for host in self.world.hosts.values() if host.zone == zone]
        for host in hosts:
            self.world.kill(host)
        await sleep(fault.length)
        for host in hosts:
            if host.node is None:
                await self.world.start_host(host)

    async def _freeze(self, fault: Fault) -> None:
        name = self._pick_host(fault).name
        self.world.network.freeze(name)
        await sleep(fault.length)
        self.world.network.thaw(name)

    async def _cut_platform(self, fault: Fault) -> None:
        zones = self.world.network.zones_without_platform
        zones.add(self._pick_zone(fault))
        await sleep(fault.length)
        zones.discard(self._pick_zone(fault))

    async def _cut_zone(self, fault: Fault) -> None:
        pair = frozenset(self.world.zones)
        self.world.network.cut_zones.add(pair)
        await sleep(fault.length)
        self.world.network.cut_zones.discard(pair)

    async def _isolate_zone(self, fault: Fault) -> None:
        pair = frozenset(self.world.zones)
        self.world.network.cut_zones.add(pair)
        await self._cut_platform(fault)
        self.world.network.cut_zones.discard(pair)

    async def _platform_down(self, fault: Fault) -> None:
        self.world.network.platform_down = True
        await sleep(fault.length)
        self.world.network.platform_down = False

    async def _lose_answers(self, fault: Fault) -> None:
        self.world.platform.response_loss_probability = 0.4
        await sleep(fault.length)
        self.world.platform.response_loss_probability = 0.0

    async def _late_writes(self, fault: Fault) -> None:
        self.world.platform.late_write_probability = 0.3
        await sleep(fault.length)
        self.world.platform.late_write_probability = 0.0

    async def _slow_store(self, fault: Fault) -> None:
        self.world.platform.extra_delay_limit_seconds = 2.0
        await sleep(fault.length)
        self.world.platform.extra_delay_limit_seconds = 0.0

    async def _lose_replies(self, fault: Fault) -> None:
        self.world.network.reply_loss = 0.2
        await sleep(fault.length)
        self.world.network.reply_loss = 0.0

    async def _worker_down(self, fault: Fault) -> None:
        worker = self._pick_worker(fault)
        worker.down = True
        await sleep(fault.length)
        worker.down = False

    async def _worker_fault(self, fault: Fault, name: str) -> None:
        worker = self._pick_worker(fault)
        worker.fault = name
        await sleep(fault.length)
        worker.fault = ""

    async def _worker_freeze(self, fault: Fault) -> None:
        await self._worker_fault(fault, "freeze")

    async def _worker_fail(self, fault: Fault) -> None:
        await self._worker_fault(fault, "fail")

    async def _worker_truncate(self, fault: Fault) -> None:
        await self._worker_fault(fault, "truncate")

    async def _worker_leaves(self, fault: Fault) -> None:
        worker = self._pick_worker(fault)
        platform = self.world.platform
        platform.listing[worker.name] = "leaving"
        if not platform.network.platform_down:
            # A home that cannot read the platform's list detects the leaving worker
            # only by the refusals of a draining worker.
            worker.draining = worker.draining or fault.target % 2 == 0
            platform.leaving_since[worker.name] = self.world.now
        await sleep(fault.length)
        platform.leaving_since.pop(worker.name, None)
        worker.draining = False
        platform.listing[worker.name] = "live"

    async def _lower_limit(self, fault: Fault) -> None:
        team = self._pick_team(fault)
        record = TEAMS[team]
        lowered = record.model_copy(update={"limit": 1})
        await self.world.write_as_operator(RecordKind.TEAM, team, lowered)
        await sleep(fault.length)
        await self.world.write_as_operator(RecordKind.TEAM, team, record)

    async def _withdraw_key(self, fault: Fault) -> None:
        team = self._pick_team(fault)
        if team not in self.world.teams_with_withdrawal:
            await self.world.withdraw_key(team)
        await sleep(fault.length)

    async def _maintain(self, fault: Fault) -> None:
        wave = Maintenance(started=self.world.now, failure_limit=3)
        await self.world.write_as_operator(
            RecordKind.MAINTENANCE, f"wave-{fault.target}", wave
        )

    async def _switch_preset(self, fault: Fault) -> None:
        sizes = {"labels": 5, "certificates": 3}
        preset = Preset(sizes=sizes, maintenance=False)
        await self.world.write_as_operator(RecordKind.PRESET, "ordinary", preset)
        await sleep(fault.length)
        await self.world.write_as_operator(
            RecordKind.PRESET, "ordinary", Preset(maintenance=True)
        )

    def _clear_faults(self) -> None:
        self.world.network.heal()
        platform = self.world.platform
        platform.response_loss_probability = platform.late_write_probability = (
            platform.extra_delay_limit_seconds
        ) = 0.0
        for worker in self.world.all_workers:
            worker.fault = ""
            worker.down = False

    def _check_final_state(self) -> None:
        for call in self.callers.calls:
            self._check_call(call)
        revisions = {
            host.node.configuration.revision  # type: ignore[union-attr]
            for host in self.world.live_hosts()
        }
        if len(revisions) != 1:
            self.world.record_violation(
                f"hosts have configuration revisions {sorted(revisions)} after recovery"
            )
        for team in TEAMS:
            self._check_usable_limit(team)

    def _check_call(self, call: Call) -> None:
        started = self.world.start_counts[f"{call.queue}/{call.key}"]
        name = f"{call.queue} {call.key}"
        if call.kind == "answered" and started == 0:
            self.world.record_violation(
                f"{name} received a response but was never started"
            )
        if call.kind == "not-run" and not call.has_uncertain_run and started:
            self.world.record_violation(f"{name} was started, but told not run")

    def _check_usable_limit(self, team: str) -> None:
        """Check that the hosts can use a team's whole upper limit after recovery."""
        if self.world.limit_history[team][-1][1] != TEAMS[team].limit:
            return
        usable = sum(
            host.node.ledger.usable(team)  # type: ignore[union-attr,arg-type]
            for host in self.world.live_hosts()
        )
        limit = self.world.highest_known_limit(team)
        if usable != limit:
            self.world.record_violation(
                f"{team} can use {usable} of {limit} after recovery"
            )
