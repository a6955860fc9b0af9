"""Several nodes over fakes, in virtual time, with everything checked."""

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
from jujubebarrow.tests.fakes.fake_workers import FakeUpstreams, FakeWorker, Run
from jujubebarrow.tests.fakes.virtual_loops import START_SECONDS, LoopClock

OWNER: ContextVar["Host | None"] = ContextVar("OWNER", default=None)
GRACE_SECONDS = 1.0
LEAVING_SECONDS = 4.0
OPERATOR_ATTEMPTS = 20


@dataclass
class Host:
    """Entry instance with its present process."""

    name: str
    zone: str
    number: int
    node: Node | None = None
    identity: PeerIdentity | None = None
    handler: PeerHandler | None = None
    context: Context = field(default_factory=Context)
    tasks: set[Task] = field(default_factory=set)
    starts: int = 0


@dataclass
class World:
    """Hosts, workers, the platform and the checks on all of them."""

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
        self.broken: list[str] = []
        self.keys: dict[str, str] = {}
        self.limits: dict[str, list[tuple[float, int]]] = {}
        self.withdrawn: dict[str, float] = {}
        self.withdrawing: set[str] = set()
        self.once_keys: Counter[str] = Counter()
        self.start_counts: Counter[str] = Counter()

    @property
    def now(self) -> float:
        return get_running_loop().time()

    def note_broken(self, text: str) -> None:
        self.broken.append(f"{self.now - START_SECONDS:.2f} s: {text}")

    async def open(self, records: dict[tuple[RecordKind, str], Record]) -> None:
        get_running_loop().set_task_factory(_own_tasks)
        self._add_workers()
        for zone in self.zones:
            for number in range(self.hosts_per_zone):
                name = f"host-{zone}-{number}"
                self.hosts[name] = Host(name, zone, len(self.hosts))
                self.network.zones[name] = zone
        self.platform.listing = {
            name: "live" for name in [*self.hosts, *(w.name for w in self.all_workers)]
        }
        for (kind, name), record in (self._fleet_records() | records).items():
            self.write(kind, name, record)
        for host in self.hosts.values():
            await self.start(host)

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
                        self.note_broken,
                        run_time=self.run_time,
                    )

    def _fleet_records(self) -> dict[tuple[RecordKind, str], Record]:
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

    def write(self, kind: RecordKind, name: str, record: Record | None) -> None:
        """Write a record as an operator whose write the platform accepted."""
        value = record.model_dump(mode="json") if record else None
        transaction = Transaction(
            writes={row_key(kind, name): value}, nonce=f"world-{self.random.random()}"
        )
        self.platform.table.commit(transaction)
        if isinstance(record, Team):
            self.limits.setdefault(name, []).append((self.now, record.limit))
        create_task(self.platform.table.notify())

    def grant(self, team: str, key: str) -> None:
        self.keys[team] = key
        self.write(RecordKind.KEY, digest_key(key), Key(team=team))

    async def operate(self, kind: RecordKind, name: str, record: Record | None) -> bool:
        """Write a record as an operator, through some instance that accepts it."""
        if isinstance(record, Team) and record.limit > self.limits[name][-1][1]:
            # May take effect long before the operator knows.
            self.limits[name].append((self.now, record.limit))
        for _ in range(OPERATOR_ATTEMPTS):
            for host in self.live_hosts():
                if host.node and await self._operate_at(host, kind, name, record):
                    if isinstance(record, Team):
                        self.limits[name].append((self.now, record.limit))
                    return True
            await sleep(0.5)
        return False

    async def _operate_at(
        self, host: Host, kind: RecordKind, name: str, record: Record | None
    ) -> bool:
        node = host.node
        context = node.make_operator_context(Mock(spec=JobAccess))  # type: ignore[union-attr]
        if not context.may_write():
            return False
        revision = context.configuration.row_revision(kind, name)
        change = Change(
            writes={(kind, name): record},
            conditions={(kind, name): revision},
            reason="world",
            subject=name,
        )
        work = create_task(context.configurations.commit(change), context=host.context)
        await wait([work], timeout=10)
        return work.done() and not work.cancelled() and work.exception() is None

    async def withdraw(self, team: str) -> None:
        digest = digest_key(self.keys[team])
        record = Key(team=team, state=KeyState.WITHDRAWN)
        self.withdrawing.add(team)
        if await self.operate(RecordKind.KEY, digest, record):
            self.withdrawn[team] = self.now

    async def start(self, host: Host) -> None:
        """Start a new process on a host."""
        host.starts += 1
        host.identity = PeerIdentity(host.name, f"{host.name}/{host.starts}", host.zone)
        host.tasks = set()
        host.context = Context()
        host.context.run(OWNER.set, host)
        host.context.run(self._build, host)

    def _build(self, host: Host) -> None:
        assert host.identity is not None
        metrics = MetricsRegistry()
        settings = self._make_settings(host)
        error = settings.clock_error / 2 * self.random.uniform(-1, 1)
        identity = host.identity

        def connect(address: str, on_connect: Callable[[Link], None]) -> Link:
            return FakeLink(self, identity, address, on_connect)

        host.node = Node(
            settings,
            host.identity,
            LoopClock(get_running_loop(), error),
            Random(f"{self.seed}/{identity.incarnation}"),
            FakePlatform(self.platform, identity, metrics),
            FakeUpstreams(self.workers, identity, self.network),
            connect,
            metrics,
        )
        host.handler = host.node.peer_handler
        # Never closed: a process here ends by being killed.
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
            "peer_secret": "secret of the world",
            "operator_key_digest": sha256(b"operator").hexdigest(),
        }
        return Settings.model_validate(document | self.overrides)

    def find(self, address: str) -> Host | None:
        number = int(address.split(":")[0].rsplit(".", 1)[1]) - 1
        host = list(self.hosts.values())[number]
        return host if host.node is not None else None

    def kill(self, host: Host) -> None:
        """End a process at once; nothing that it still does has an effect."""
        if host.node is None or host.identity is None:
            return
        self._collect(host)
        self.network.dead.add(host.identity.incarnation)
        for task in host.tasks:
            task.cancel()
        host.node = None
        self.network.thaw(host.name)

    def _collect(self, host: Host) -> None:
        for (name, label), value in host.node.metrics.counters().items():  # type: ignore[union-attr]
            if name == "invariant_broken" and value:
                self.note_broken(f"{host.name}: invariant {label}")

    def live_hosts(self) -> list[Host]:
        return [host for host in self.hosts.values() if host.node is not None]

    def check_start(self, run: Run) -> None:
        """Check a task at the moment a worker starts it."""
        task = run.task
        if task.once:
            self.once_keys[f"{task.queue}/{task.key}"] += 1
            if self.once_keys[f"{task.queue}/{task.key}"] > 1:
                self.note_broken(f"{task.queue} {task.key} was started twice")
        self.start_counts[f"{task.queue}/{task.key}"] += 1
        left = self.platform.leaving_since.get(run.worker)
        late = left is not None and self.now > left + LEAVING_SECONDS
        if late and not self._hears_nothing(run.worker):
            self.note_broken(f"{run.worker} started work while it leaves")
        if not task.team:
            return
        self._check_limit(task.team)
        withdrawn = self.withdrawn.get(task.team)
        if withdrawn is not None and self.now > withdrawn + self._stale_seconds():
            self.note_broken(f"{task.team} started work with a withdrawn key")

    def _hears_nothing(self, name: str) -> bool:
        """Return whether a worker's own zone is cut from everything."""
        zone = next(worker.zone for worker in self.all_workers if worker.name == name)
        if zone not in self.network.zones_without_platform:
            return False
        return any(zone in pair for pair in self.network.cut_zones)

    def _check_limit(self, team: str) -> None:
        running = sum(
            run.task.team == team
            for worker in self.all_workers
            for run in worker.running.values()
        )
        if running > self.limit_in_force(team):
            self.note_broken(f"{team} runs {running} of {self.limit_in_force(team)}")

    def limit_in_force(self, team: str) -> int:
        """Highest limit that some process may still know."""
        history = self.limits[team]
        since = self.now - self._stale_seconds()
        known = [history[0][1]]
        for time, limit in history:
            if time <= since:
                known = [limit]
            else:
                known.append(limit)
        return max(known)

    def _stale_seconds(self) -> float:
        return 6.0 + GRACE_SECONDS

    def verdict(self) -> list[str]:
        """Return everything that was broken."""
        for host in self.live_hosts():
            self._collect(host)
        return self.broken + self.platform.audit.violations

    def team_records(
        self, teams: dict[str, Team], queues: dict[str, Queue]
    ) -> dict[tuple[RecordKind, str], Record]:
        records: dict[tuple[RecordKind, str], Record] = {
            (RecordKind.TEAM, name): team for name, team in teams.items()
        }
        for name, queue in queues.items():
            records[RecordKind.QUEUE, name] = queue
        return records


def _own_tasks(loop, coroutine, **options):
    task = Task(coroutine, loop=loop, **options)
    context = options.get("context")
    owner = context.get(OWNER) if context is not None else OWNER.get()
    if owner is not None:
        owner.tasks.add(task)
        task.add_done_callback(owner.tasks.discard)
    return task
