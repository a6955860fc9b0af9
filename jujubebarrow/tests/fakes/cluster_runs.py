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
from jujubebarrow.tests.fakes.simulated_callers import Call, SimulatedCallers
from jujubebarrow.tests.fakes.simulated_clusters import SimulatedCluster
from jujubebarrow.tests.fakes.virtual_loops import run_virtual

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
    """Fault that is injected during a run.

    Attributes:
        start_offset: Time in seconds from the end of the warm-up to the start of the
            fault.
        kind: Name of the method that injects the fault, without the underscore.
        target: Index that selects the affected host, zone, worker or team.
        duration: Duration of the fault in seconds.
    """

    start_offset: float
    kind: str
    target: int
    duration: float


FAULT_KINDS = (
    "kill",
    "replace",
    "freeze",
    "cut_platform",
    "cut_zone",
    "isolate_zone",
    "platform_down",
    "lose_store_responses",
    "late_writes",
    "slow_store",
    "lose_peer_replies",
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


class ClusterRun:
    """Simulates a cluster under load and one schedule of faults.

    Attributes:
        cluster: Simulated cluster.
        callers: Callers that send requests to the cluster.
    """

    def __init__(self, seed: int, faults: list[Fault], run_time: float = 0.1):
        self.cluster = SimulatedCluster(seed, run_time=run_time)
        self.callers = SimulatedCallers(self.cluster)
        self._faults = sorted(faults, key=lambda fault: fault.start_offset)

    def run(self) -> "ClusterRun":
        logger.disable("jujubebarrow")
        run_virtual(self._simulate())
        return self

    async def open(self) -> None:
        """Start all hosts with a configuration and a key for each team."""
        await self.cluster.open(self.cluster.make_team_records(TEAMS, QUEUES))
        for team in TEAMS:
            self.cluster.add_key(team, f"key of {team}")

    async def _simulate(self) -> None:
        cluster = self.cluster
        await self.open()
        await sleep(WARM_UP_SECONDS)
        load = create_task(self.callers.send(STREAMS, FAULT_SECONDS, REQUEST_RATE))
        injections = [create_task(self._inject_fault(fault)) for fault in self._faults]
        await load
        for injection in injections:
            await injection
        self._clear_faults()
        await self.callers.wait_for_calls()
        await sleep(RECOVERY_SECONDS)
        self._check_final_state()
        for host in cluster.live_hosts():
            cluster.kill(host)

    async def _inject_fault(self, fault: Fault) -> None:
        await sleep(fault.start_offset)
        await getattr(self, f"_{fault.kind}")(fault)

    def _pick_host(self, fault: Fault):
        hosts = list(self.cluster.hosts.values())
        return hosts[fault.target % len(hosts)]

    def _pick_zone(self, fault: Fault) -> str:
        return self.cluster.zones[fault.target % len(self.cluster.zones)]

    def _pick_worker(self, fault: Fault):
        workers = self.cluster.all_workers
        return workers[fault.target % len(workers)]

    def _pick_team(self, fault: Fault) -> str:
        return list(TEAMS)[fault.target % len(TEAMS)]

    async def _kill(self, fault: Fault) -> None:
        host = self._pick_host(fault)
        self.cluster.kill(host)
        await sleep(fault.duration)
        if host.node is None:
            await self.cluster.start_host(host)

    async def _replace(self, fault: Fault) -> None:
        """Terminate an instance and remove it from the list; start it again later."""
        host = self._pick_host(fault)
        self.cluster.kill(host)
        self.cluster.platform.listing.pop(host.name, None)
        await sleep(fault.duration + 12)
        self.cluster.platform.listing[host.name] = "live"
        if host.node is None:
            await self.cluster.start_host(host)

    async def _kill_zone(self, fault: Fault) -> None:
        zone = self._pick_zone(fault)
        hosts = [host for host in self.cluster.hosts.values() if host.zone == zone]
        for host in hosts:
            self.cluster.kill(host)
        await sleep(fault.duration)
        for host in hosts:
            if host.node is None:
                await self.cluster.start_host(host)

    async def _freeze(self, fault: Fault) -> None:
        name = self._pick_host(fault).name
        self.cluster.network.freeze(name)
        await sleep(fault.duration)
        self.cluster.network.unfreeze(name)

    async def _cut_platform(self, fault: Fault) -> None:
        zones = self.cluster.network.zones_without_platform
        zones.add(self._pick_zone(fault))
        await sleep(fault.duration)
        zones.discard(self._pick_zone(fault))

    async def _cut_zone(self, fault: Fault) -> None:
        pair = frozenset(self.cluster.zones)
        self.cluster.network.partitioned_zones.add(pair)
        await sleep(fault.duration)
        self.cluster.network.partitioned_zones.discard(pair)

    async def _isolate_zone(self, fault: Fault) -> None:
        pair = frozenset(self.cluster.zones)
        self.cluster.network.partitioned_zones.add(pair)
        await self._cut_platform(fault)
        self.cluster.network.partitioned_zones.discard(pair)

    async def _platform_down(self, fault: Fault) -> None:
        self.cluster.network.is_platform_down = True
        await sleep(fault.duration)
        self.cluster.network.is_platform_down = False

    async def _lose_store_responses(self, fault: Fault) -> None:
        self.cluster.platform.response_loss_probability = 0.4
        await sleep(fault.duration)
        self.cluster.platform.response_loss_probability = 0.0

    async def _late_writes(self, fault: Fault) -> None:
        self.cluster.platform.late_write_probability = 0.3
        await sleep(fault.duration)
        self.cluster.platform.late_write_probability = 0.0

    async def _slow_store(self, fault: Fault) -> None:
        self.cluster.platform.extra_delay_limit_seconds = 2.0
        await sleep(fault.duration)
        self.cluster.platform.extra_delay_limit_seconds = 0.0

    async def _lose_peer_replies(self, fault: Fault) -> None:
        self.cluster.network.reply_loss_probability = 0.2
        await sleep(fault.duration)
        self.cluster.network.reply_loss_probability = 0.0

    async def _worker_down(self, fault: Fault) -> None:
        worker = self._pick_worker(fault)
        worker.is_down = True
        await sleep(fault.duration)
        worker.is_down = False

    async def _inject_worker_fault(self, fault: Fault, name: str) -> None:
        worker = self._pick_worker(fault)
        worker.fault = name
        await sleep(fault.duration)
        worker.fault = ""

    async def _worker_freeze(self, fault: Fault) -> None:
        await self._inject_worker_fault(fault, "freeze")

    async def _worker_fail(self, fault: Fault) -> None:
        await self._inject_worker_fault(fault, "fail")

    async def _worker_truncate(self, fault: Fault) -> None:
        await self._inject_worker_fault(fault, "truncate")

    async def _worker_leaves(self, fault: Fault) -> None:
        worker = self._pick_worker(fault)
        platform = self.cluster.platform
        platform.listing[worker.name] = "leaving"
        if not platform.network.is_platform_down:
            # With an even target, the worker also drains: a home that cannot read the
            # platform's list then learns from the worker's refusals that the worker
            # leaves.
            worker.is_draining = worker.is_draining or fault.target % 2 == 0
            platform.leaving_since[worker.name] = self.cluster.now
        await sleep(fault.duration)
        platform.leaving_since.pop(worker.name, None)
        worker.is_draining = False
        platform.listing[worker.name] = "live"

    async def _lower_limit(self, fault: Fault) -> None:
        team = self._pick_team(fault)
        record = TEAMS[team]
        lowered = record.model_copy(update={"limit": 1})
        await self.cluster.write_as_operator(RecordKind.TEAM, team, lowered)
        await sleep(fault.duration)
        await self.cluster.write_as_operator(RecordKind.TEAM, team, record)

    async def _withdraw_key(self, fault: Fault) -> None:
        team = self._pick_team(fault)
        if team not in self.cluster.teams_with_withdrawal:
            await self.cluster.withdraw_key(team)
        await sleep(fault.duration)

    async def _maintain(self, fault: Fault) -> None:
        wave = Maintenance(started=self.cluster.now, failure_limit=3)
        await self.cluster.write_as_operator(
            RecordKind.MAINTENANCE, f"wave-{fault.target}", wave
        )

    async def _switch_preset(self, fault: Fault) -> None:
        sizes = {"labels": 5, "certificates": 3}
        preset = Preset(sizes=sizes, maintenance=False)
        await self.cluster.write_as_operator(RecordKind.PRESET, "ordinary", preset)
        await sleep(fault.duration)
        await self.cluster.write_as_operator(
            RecordKind.PRESET, "ordinary", Preset(maintenance=True)
        )

    def _clear_faults(self) -> None:
        self.cluster.network.clear_faults()
        platform = self.cluster.platform
        platform.response_loss_probability = platform.late_write_probability = (
            platform.extra_delay_limit_seconds
        ) = 0.0
        for worker in self.cluster.all_workers:
            worker.fault = ""
            worker.is_down = False

    def _check_final_state(self) -> None:
        for call in self.callers.calls:
            self._check_call(call)
        revisions = {
            host.node.configuration.revision  # type: ignore[union-attr]
            for host in self.cluster.live_hosts()
        }
        if len(revisions) != 1:
            self.cluster.record_violation(
                f"hosts have configuration revisions {sorted(revisions)} after recovery"
            )
        for team in TEAMS:
            self._check_usable_limit(team)

    def _check_call(self, call: Call) -> None:
        start_count = self.cluster.start_counts[f"{call.queue}/{call.key}"]
        name = f"{call.queue} {call.key}"
        if call.outcome == "answered" and start_count == 0:
            self.cluster.record_violation(
                f"{name} received a response but was never started"
            )
        if call.outcome == "not-run" and not call.may_have_run and start_count:
            self.cluster.record_violation(f"{name} was started, but told not run")
        if call.was_told_of_all and start_count:
            self.cluster.record_violation(
                f"{name} was started, but told that no attempt had run"
            )

    def _check_usable_limit(self, team: str) -> None:
        """Check that the hosts can use a team's whole upper limit after recovery."""
        if self.cluster.limit_history[team][-1][1] != TEAMS[team].limit:
            return
        usable = sum(
            host.node.ledger.usable(team)  # type: ignore[union-attr,arg-type]
            for host in self.cluster.live_hosts()
        )
        limit = self.cluster.highest_known_limit(team)
        if usable != limit:
            self.cluster.record_violation(
                f"hosts can use {usable} of the upper limit {limit} of {team} after "
                "recovery"
            )
