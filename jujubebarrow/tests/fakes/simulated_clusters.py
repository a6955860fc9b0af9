"""Simulated cluster of hosts and workers in virtual time, with checks of guarantees."""

from asyncio import Task, create_task, get_running_loop, sleep, wait
from collections import Counter
from collections.abc import Callable
from contextlib import AsyncExitStack
from contextvars import Context, ContextVar
from dataclasses import dataclass, field
from hashlib import sha256
from random import Random
from unittest.mock import Mock

from jujubebarrow.configurations.configurations import row_key
from jujubebarrow.configurations.instance_records import Instance
from jujubebarrow.configurations.key_records import Key
from jujubebarrow.configurations.key_states import KeyState
from jujubebarrow.configurations.pool_records import Pool
from jujubebarrow.configurations.preset_records import Preset
from jujubebarrow.configurations.queue_records import Queue
from jujubebarrow.configurations.record_bases import Record
from jujubebarrow.configurations.record_kinds import RecordKind
from jujubebarrow.configurations.selection_records import Selection
from jujubebarrow.configurations.team_records import Team
from jujubebarrow.daemons.nodes import Node
from jujubebarrow.key_digests import digest_key
from jujubebarrow.maintenance.changes import Change
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.peers.handlers import PeerHandler
from jujubebarrow.peers.identities import PeerIdentity
from jujubebarrow.peers.link_types import Link
from jujubebarrow.runtimes.job_accesses import JobAccess
from jujubebarrow.settings.settings import Settings
from jujubebarrow.stores.transactions import Transaction
from jujubebarrow.tests.fakes.fake_links import FakeLink
from jujubebarrow.tests.fakes.fake_networks import FakeNetwork
from jujubebarrow.tests.fakes.fake_platforms import FakePlatform, PlatformState
from jujubebarrow.tests.fakes.fake_workers import FakeUpstreamClient, FakeWorker, Run
from jujubebarrow.tests.fakes.virtual_loops import START_SECONDS, LoopClock

CURRENT_HOST: ContextVar["Host | None"] = ContextVar("CURRENT_HOST", default=None)
STALENESS_MARGIN_SECONDS = 1.0
LEAVING_GRACE_SECONDS = 4.0
OPERATOR_ATTEMPTS = 20


@dataclass
class Host:
    """Entry instance with its current process.

    Attributes:
        number: Position of the instance in the cluster; part of the address.
        node: Node of the current process; None while no process runs.
        identity: Identity of the newest process.
        handler: Handler of the peers' requests to the newest process.
        context: Context in which all tasks of the newest process run.
        tasks: Unfinished tasks of the newest process; ``kill`` cancels the tasks.
        start_count: Number of processes started on the instance.
    """

    name: str
    zone: str
    number: int
    node: Node | None = None
    identity: PeerIdentity | None = None
    handler: PeerHandler | None = None
    context: Context = field(default_factory=Context)
    tasks: set[Task] = field(default_factory=set)
    start_count: int = 0


@dataclass
class SimulatedCluster:
    """Hosts, workers and platform of a simulated cluster, with checks of guarantees.

    Attributes:
        overrides: Settings of all hosts that differ from the defaults.
        run_time: Typical run time of a task in seconds.
        violations: Violations found so far, each with its virtual time.
        keys: Key of each team.
        limit_history: Times in seconds and values of each team's upper limit.
        withdrawn_at: Time in seconds at which a host accepted the withdrawal of a
            team's key.
        teams_with_withdrawal: Teams whose key may have been withdrawn.
        at_most_once_start_counts: Number of starts of each request that must not be
            sent to a worker again, by queue and key.
        start_counts: Number of starts of each request, by queue and key.
    """

    seed: int
    zones: tuple[str, ...] = ("zone-a", "zone-b")
    hosts_per_zone: int = 2
    pools: tuple[str, ...] = ("labels", "certificates")
    workers_per_zone: int = 2
    overrides: dict[str, object] = field(default_factory=dict)
    run_time: float = 0.1

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.network = FakeNetwork(self.random)
        self.platform = PlatformState(self.network)
        self.hosts: dict[str, Host] = {}
        self.workers: dict[str, FakeWorker] = {}
        self.violations: list[str] = []
        self.keys: dict[str, str] = {}
        self.limit_history: dict[str, list[tuple[float, int]]] = {}
        self.withdrawn_at: dict[str, float] = {}
        self.teams_with_withdrawal: set[str] = set()
        self.at_most_once_start_counts: Counter[str] = Counter()
        self.start_counts: Counter[str] = Counter()

    @property
    def now(self) -> float:
        return get_running_loop().time()

    def record_violation(self, text: str) -> None:
        self.violations.append(f"{self.now - START_SECONDS:.2f} s: {text}")

    async def open(self, records: dict[tuple[RecordKind, str], Record]) -> None:
        get_running_loop().set_task_factory(_create_owned_task)
        self._add_workers()
        for zone in self.zones:
            for number in range(self.hosts_per_zone):
                name = f"host-{zone}-{number}"
                self.hosts[name] = Host(name, zone, len(self.hosts))
                self.network.zones[name] = zone
        self.platform.listing = {
            name: "live" for name in [*self.hosts, *(w.name for w in self.all_workers)]
        }
        for (kind, name), record in (self._make_fleet_records() | records).items():
            self.write_record(kind, name, record)
        for host in self.hosts.values():
            await self.start_host(host)

    @property
    def all_workers(self) -> list[FakeWorker]:
        return list(self.workers.values())

    def _add_workers(self) -> None:
        for pool in self.pools:
            for zone in self.zones:
                for number in range(self.workers_per_zone):
                    address = f"10.0.0.{len(self.workers) + 1}:80"
                    name = f"{pool}-{zone}-{number}"
                    self.workers[address] = FakeWorker(
                        name,
                        zone,
                        self.network,
                        self.check_start,
                        self.record_violation,
                        run_time=self.run_time,
                    )

    def _make_fleet_records(self) -> dict[tuple[RecordKind, str], Record]:
        records: dict[tuple[RecordKind, str], Record] = {
            (RecordKind.POOL, pool): Pool(unavailable_limit=1) for pool in self.pools
        }
        for address, worker in self.workers.items():
            pool, _, zone, number = worker.name.split("-")
            records[RecordKind.INSTANCE, worker.name] = Instance(
                pool=pool,
                zone=f"zone-{zone}",
                rack=f"rack-{zone}{int(number) // 2}",
                address=address,
                slots=worker.slots,
            )
        records[RecordKind.PRESET, "ordinary"] = Preset(maintenance=True)
        records[RecordKind.SELECTION, "preset"] = Selection(preset="ordinary")
        return records

    def write_record(self, kind: RecordKind, name: str, record: Record | None) -> None:
        """Write a record to the store directly, as if an instance had committed it."""
        value = record.model_dump(mode="json") if record else None
        transaction = Transaction(
            writes={row_key(kind, name): value}, nonce=f"cluster-{self.random.random()}"
        )
        self.platform.table.commit(transaction)
        if isinstance(record, Team):
            self.limit_history.setdefault(name, []).append((self.now, record.limit))
        create_task(self.platform.table.notify())

    def add_key(self, team: str, key: str) -> None:
        self.keys[team] = key
        self.write_record(RecordKind.KEY, digest_key(key), Key(team=team))

    async def write_as_operator(
        self, kind: RecordKind, name: str, record: Record | None
    ) -> bool:
        """Write a record as an operator through the first host that accepts the write.

        Returns:
            Whether a host accepted the write within ``OPERATOR_ATTEMPTS`` rounds.
        """
        if isinstance(record, Team) and record.limit > self.limit_history[name][-1][1]:
            # A raised limit counts from the first attempt on, because the write may
            # take effect long before the operator receives a response.
            self.limit_history[name].append((self.now, record.limit))
        for _ in range(OPERATOR_ATTEMPTS):
            for host in self.live_hosts():
                if host.node and await self._write_through_host(
                    host, kind, name, record
                ):
                    if isinstance(record, Team):
                        self.limit_history[name].append((self.now, record.limit))
                    return True
            await sleep(0.5)
        return False

    async def _write_through_host(
        self, host: Host, kind: RecordKind, name: str, record: Record | None
    ) -> bool:
        node = host.node
        context = node.make_operator_context(Mock(spec=JobAccess))  # type: ignore[union-attr]
        if not context.can_write():
            return False
        revision = context.configuration.row_revision(kind, name)
        change = Change(
            writes={(kind, name): record},
            conditions={(kind, name): revision},
            reason="simulation",
            subject=name,
        )
        commit_task = create_task(
            context.configuration_service.commit(change), context=host.context
        )
        await wait([commit_task], timeout=10)
        return (
            commit_task.done()
            and not commit_task.cancelled()
            and commit_task.exception() is None
        )

    async def withdraw_key(self, team: str) -> None:
        digest = digest_key(self.keys[team])
        record = Key(team=team, state=KeyState.WITHDRAWN)
        self.teams_with_withdrawal.add(team)
        if await self.write_as_operator(RecordKind.KEY, digest, record):
            self.withdrawn_at[team] = self.now

    async def start_host(self, host: Host) -> None:
        """Start a new process on a host; the process gets a new incarnation."""
        host.start_count += 1
        host.identity = PeerIdentity(
            host.name, f"{host.name}/{host.start_count}", host.zone
        )
        host.tasks = set()
        host.context = Context()
        host.context.run(CURRENT_HOST.set, host)
        host.context.run(self._build_node, host)

    def _build_node(self, host: Host) -> None:
        assert host.identity is not None
        metrics = MetricsRegistry()
        settings = self._make_settings(host)
        clock_error = settings.clock_error / 2 * self.random.uniform(-1, 1)
        identity = host.identity

        def connect(address: str, on_connect: Callable[[Link], None]) -> Link:
            return FakeLink(self, identity, address, on_connect)

        host.node = Node(
            settings,
            host.identity,
            LoopClock(get_running_loop(), clock_error),
            Random(f"{self.seed}/{identity.incarnation}"),
            FakePlatform(self.platform, identity, metrics),
            FakeUpstreamClient(self.workers, identity, self.network),
            connect,
            metrics,
        )
        host.handler = host.node.peer_handler
        # The exit stack is never closed, because simulated processes are always killed.
        create_task(host.node.open(AsyncExitStack()))

    def _make_settings(self, host: Host) -> Settings:
        document = {
            "instance": host.name,
            "zone": host.zone,
            "address": f"10.1.0.{host.number + 1}",
            "caller_port": 1,
            "operator_port": 2,
            "peer_port": 3,
            "peers": [f"10.1.0.{other.number + 1}:3" for other in self.hosts.values()],
            "platform_url": "http://10.2.0.1",
            "peer_secret": "peer secret of the cluster",
            "operator_key_digest": sha256(b"operator").hexdigest(),
        }
        return Settings.model_validate(document | self.overrides)

    def find_host(self, address: str) -> Host | None:
        number = int(address.split(":")[0].rsplit(".", 1)[1]) - 1
        host = list(self.hosts.values())[number]
        return host if host.node is not None else None

    def kill(self, host: Host) -> None:
        """Kill the process of a host; later actions of the process have no effect."""
        if host.node is None or host.identity is None:
            return
        self._record_broken_invariants(host)
        self.network.killed_incarnations.add(host.identity.incarnation)
        for task in host.tasks:
            task.cancel()
        host.node = None
        self.network.unfreeze(host.name)

    def _record_broken_invariants(self, host: Host) -> None:
        for (name, label), value in host.node.metrics.counters().items():  # type: ignore[union-attr]
            if name == "invariant_broken" and value:
                self.record_violation(f"{host.name}: broken invariant {label}")

    def live_hosts(self) -> list[Host]:
        return [host for host in self.hosts.values() if host.node is not None]

    def check_start(self, run: Run) -> None:
        """Check a started run against the guarantees and record violations.

        The checks cover second starts, leaving workers, upper limits and withdrawn
        keys.
        """
        task = run.task
        if task.is_resend_forbidden:
            self.at_most_once_start_counts[f"{task.queue}/{task.key}"] += 1
            if self.at_most_once_start_counts[f"{task.queue}/{task.key}"] > 1:
                self.record_violation(f"{task.queue} {task.key} was started twice")
        self.start_counts[f"{task.queue}/{task.key}"] += 1
        leave_time = self.platform.leaving_since.get(run.worker)
        is_overdue = (
            leave_time is not None and self.now > leave_time + LEAVING_GRACE_SECONDS
        )
        if is_overdue and not self._is_worker_isolated(run.worker):
            self.record_violation(f"{run.worker} started a task while it leaves")
        if not task.team:
            return
        self._check_limit(task.team)
        withdrawal_time = self.withdrawn_at.get(task.team)
        if (
            withdrawal_time is not None
            and self.now > withdrawal_time + self._max_staleness_seconds()
        ):
            self.record_violation(f"{task.team} started a task with a withdrawn key")

    def _is_worker_isolated(self, worker_name: str) -> bool:
        """Return whether a worker's zone can reach neither platform nor other zones.

        A home in such a zone cannot learn that the worker leaves.
        """
        zone = next(
            worker.zone for worker in self.all_workers if worker.name == worker_name
        )
        if zone not in self.network.zones_without_platform:
            return False
        return any(zone in pair for pair in self.network.partitioned_zones)

    def _check_limit(self, team: str) -> None:
        running = sum(
            run.task.team == team
            for worker in self.all_workers
            for run in worker.running.values()
        )
        if running > self.highest_known_limit(team):
            self.record_violation(
                f"{team} runs {running} tasks with an upper limit of "
                f"{self.highest_known_limit(team)}"
            )

    def highest_known_limit(self, team: str) -> int:
        """Return the highest upper limit of a team that a process may still apply.

        A process may apply an outdated limit for ``_max_staleness_seconds`` at most.
        """
        history = self.limit_history[team]
        since = self.now - self._max_staleness_seconds()
        known_limits = [history[0][1]]
        for time, limit in history:
            if time <= since:
                known_limits = [limit]
            else:
                known_limits.append(limit)
        return max(known_limits)

    def _max_staleness_seconds(self) -> float:
        """Return the default of the setting ``key_freshness`` plus a margin."""
        return 6.0 + STALENESS_MARGIN_SECONDS

    def collect_violations(self) -> list[str]:
        """Return all violations that the hosts, workers and store audit have found."""
        for host in self.live_hosts():
            self._record_broken_invariants(host)
        return self.violations + self.platform.audit.violations

    def make_team_records(
        self, teams: dict[str, Team], queues: dict[str, Queue]
    ) -> dict[tuple[RecordKind, str], Record]:
        records: dict[tuple[RecordKind, str], Record] = {
            (RecordKind.TEAM, name): team for name, team in teams.items()
        }
        for name, queue in queues.items():
            records[RecordKind.QUEUE, name] = queue
        return records


def _create_owned_task(loop, coroutine, **options):
    task = Task(coroutine, loop=loop, **options)
    context = options.get("context")
    owner = context.get(CURRENT_HOST) if context is not None else CURRENT_HOST.get()
    if owner is not None:
        owner.tasks.add(task)
        task.add_done_callback(owner.tasks.discard)
    return task
