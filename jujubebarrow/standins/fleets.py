"""A small fleet of real processes on the loopback address."""

import json
import signal
import time
from asyncio import current_task, get_running_loop, sleep
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from dataclasses import dataclass, field
from hashlib import sha256
from io import BytesIO
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
    HTTPResponse,
)
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from jujubebarrow.standins.ports import LOOPBACK, find_ports
from jujubebarrow.standins.processes import ChildProcess

OPERATOR_KEY = "operator-key-of-the-test-fleet"
PEER_SECRET = "secret-of-the-test-fleet"
READY_SECONDS = 30.0
POLL_SECONDS = 0.1
CLIENT_LIMIT = 400
NO_ANSWER = 599


@dataclass
class EntryInstance:
    """Entry instance of the fleet."""

    name: str
    zone: str
    caller_port: int
    operator_port: int
    peer_port: int
    settings: Path
    process: ChildProcess | None = None


@dataclass
class FleetShape:
    """Size and settings of a fleet.

    Attributes:
        zones: Availability zones.
        entries: Entry instances in each zone.
        pools: Workers in each zone, by pool.
        slots: Slots of a worker.
        run_time: Run time of a task in seconds.
        overrides: Settings that differ from their defaults.
        seed: Seed of the platform's faults.
        lag: Lag of the platform's list in seconds.
        spread: Whether each worker is a process of its own.
    """

    zones: tuple[str, ...] = ("zone-a", "zone-b")
    entries: int = 2
    pools: dict[str, int] = field(default_factory=lambda: {"labels": 2})
    slots: int = 8
    run_time: float = 0.02
    overrides: dict[str, Any] = field(default_factory=dict)
    seed: int = 1
    lag: float = 0.2
    spread: bool = False


class Fleet:
    """Starts the stand-ins and the daemons, and talks to them.

    Args:
        shape: Size and settings.
    """

    def __init__(self, shape: FleetShape):
        self._shape = shape
        self._stack = ExitStack()
        self.folder = Path()
        self.client: AsyncHTTPClient = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=CLIENT_LIMIT
        )
        self.entries: dict[str, EntryInstance] = {}
        self.workers: dict[str, str] = {}
        self.keys: dict[str, str] = {}
        self.digests: dict[str, str] = {}
        self.platform_port = 0
        self._worker_processes: list[ChildProcess] = []

    async def __aenter__(self) -> "Fleet":
        """Start all processes and wait until they are ready."""
        task = current_task()
        if task is not None:
            # So that no process is left behind when this one is told to stop.
            get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        folder = TemporaryDirectory(prefix="jujubebarrow-")
        self.folder = Path(self._stack.enter_context(folder))
        try:
            self._start_platform()
            self._start_workers()
            self._prepare_entries()
            await self._wait_for_platform()
            await self.list_instances()
            for entry in self.entries.values():
                self.start_entry(entry)
        except BaseException:
            self._stack.close()
            raise
        return self

    async def __aexit__(self, *details: object) -> None:
        """End all processes."""
        self._stack.close()
        self.client.close()

    def _start(self, name: str, module: str, arguments: list[str]) -> ChildProcess:
        process = ChildProcess(name, module, arguments, self.folder)
        self._stack.callback(process.kill)
        return process

    def _start_platform(self) -> None:
        self.platform_port = find_ports(1)[0]
        arguments = ["--port", str(self.platform_port)]
        arguments += ["--seed", str(self._shape.seed), "--lag", str(self._shape.lag)]
        self._start("platform", "jujubebarrow.standins.platforms", arguments)

    def _start_workers(self) -> None:
        ports = []
        for pool, count in self._shape.pools.items():
            for zone in self._shape.zones:
                for number, port in enumerate(find_ports(count)):
                    name = f"{pool}-{zone}-{number}"
                    self.workers[name] = f"{LOOPBACK}:{port}"
                    ports.append(str(port))
        arguments = ["--slots", str(self._shape.slots)]
        arguments += ["--run-time", str(self._shape.run_time), "--ports"]
        groups = [[port] for port in ports] if self._shape.spread else [ports]
        for number, group in enumerate(groups):
            module = "jujubebarrow.standins.workers"
            process = self._start(f"workers-{number}", module, [*arguments, *group])
            self._worker_processes.append(process)

    def kill_workers(self) -> None:
        """End all workers at once."""
        for process in self._worker_processes:
            process.kill()

    def _prepare_entries(self) -> None:
        plans = []
        for zone in self._shape.zones:
            for number in range(self._shape.entries):
                plans.append((f"entry-{zone}-{number}", zone, find_ports(3)))
        peers = [f"{LOOPBACK}:{ports[2]}" for _, _, ports in plans]
        for name, zone, ports in plans:
            self.add_entry(name, zone, ports, peers)

    def add_entry(
        self, name: str, zone: str, ports: list[int], peers: list[str]
    ) -> EntryInstance:
        """Write the settings of an entry instance."""
        path = self.folder / f"{name}.json"
        settings = {
            "instance": name,
            "zone": zone,
            "address": LOOPBACK,
            "caller_port": ports[0],
            "operator_port": ports[1],
            "peer_port": ports[2],
            "peers": peers,
            "platform_url": f"http://{LOOPBACK}:{self.platform_port}",
            "peer_secret": PEER_SECRET,
            "operator_key_digest": sha256(OPERATOR_KEY.encode()).hexdigest(),
        }
        path.write_text(json.dumps(settings | self._shape.overrides))
        entry = EntryInstance(name, zone, ports[0], ports[1], ports[2], path)
        self.entries[name] = entry
        return entry

    def start_entry(self, entry: EntryInstance) -> None:
        """Start the process of an entry instance."""
        entry.process = self._start(
            entry.name, "jujubebarrow.daemons.main", ["--settings", str(entry.settings)]
        )

    def read_log(self, name: str) -> str:
        """Return the log of a process."""
        return (self.folder / f"{name}.log").read_text()

    async def fetch(
        self, method: str, url: str, body: Any = None, **headers: str
    ) -> HTTPResponse:
        """Send a request and return any answer."""
        data = body if isinstance(body, bytes) or body is None else json.dumps(body)
        if data is None and method in ("POST", "PUT"):
            data = b""
        names = {key.replace("_", "-"): value for key, value in headers.items()}
        request = HTTPRequest(
            url,
            method=method,
            body=data,
            headers=names,
            request_timeout=60,
            connect_timeout=10,
        )
        try:
            return await self.client.fetch(request, raise_error=False)
        except (OSError, HTTPClientError) as error:
            return HTTPResponse(request, NO_ANSWER, buffer=BytesIO(), error=error)

    async def operate(
        self, entry: EntryInstance, method: str, path: str, body: Any = None, **headers
    ) -> HTTPResponse:
        """Send an operator's request."""
        url = f"http://{LOOPBACK}:{entry.operator_port}{path}"
        authorization = f"Bearer {OPERATOR_KEY}"
        return await self.fetch(
            method, url, body, Authorization=authorization, **headers
        )

    async def call(
        self, entry: EntryInstance, queue: str, team: str, body: Any = None, **headers
    ) -> HTTPResponse:
        """Send a caller's request to a queue."""
        url = f"http://{LOOPBACK}:{entry.caller_port}/v1/queues/{queue}/requests"
        if team:
            headers["Authorization"] = f"Bearer {self.keys[team]}"
        return await self.fetch("POST", url, body or {"label": 1}, **headers)

    async def administer(self, **document: Any) -> None:
        """Set faults or the true list of the platform."""
        url = f"http://{LOOPBACK}:{self.platform_port}/administration"
        await self.fetch("POST", url, document)

    async def list_instances(self, **states: str) -> None:
        """Set the platform's list: all are live but those named otherwise."""
        names = {name: "live" for name in [*self.entries, *self.workers]}
        names.update({name.replace("_", "-"): v for name, v in states.items()})
        listed = {name: state for name, state in names.items() if state != "gone"}
        await self.administer(instances=listed)

    async def set_worker_faults(self, worker: str, **faults: Any) -> None:
        """Set the faults of a worker."""
        await self.fetch("POST", f"http://{self.workers[worker]}/faults", faults)

    async def worker_record(self, worker: str) -> dict[str, Any]:
        """Return a worker's own record."""
        response = await self.fetch("GET", f"http://{self.workers[worker]}/record")
        return json.loads(response.body)

    async def all_tasks(self) -> list[dict[str, Any]]:
        """Return the tasks that all workers started."""
        tasks: list[dict[str, Any]] = []
        for worker in self.workers:
            tasks.extend((await self.worker_record(worker))["tasks"])
        return tasks

    async def wait_until(
        self, check: Callable[[], Awaitable[bool]], what: str, seconds: float
    ) -> float:
        """Wait until a check holds and return the seconds it took.

        Raises:
            TimeoutError: It did not hold in time.
        """
        start = time.monotonic()
        while time.monotonic() - start < seconds:
            if await check():
                return time.monotonic() - start
            await sleep(POLL_SECONDS)
        raise TimeoutError(what)

    async def _wait_for_platform(self) -> None:
        async def answers() -> bool:
            url = f"http://{LOOPBACK}:{self.platform_port}/instances"
            return (await self.fetch("GET", url)).code == 200

        await self.wait_until(answers, "platform", READY_SECONDS)

    async def wait_for_writer(self, entry: EntryInstance) -> None:
        """Wait until an entry instance accepts configuration changes."""

        async def accepts() -> bool:
            response = await self.operate(entry, "PUT", "/v1/records/pools/none", {})
            return response.code == 400 and b"If-Match" in response.body

        await self.wait_until(accepts, f"{entry.name} accepts changes", READY_SECONDS)

    async def put_record(
        self, entry: EntryInstance, kind: str, name: str, value: dict[str, Any]
    ) -> None:
        """Create a record or replace it."""
        path = f"/v1/records/{kind}/{name}"
        found = await self.operate(entry, "GET", path)
        headers = {"If_None_Match": "*"}
        if found.code == 200:
            headers = {"If_Match": str(json.loads(found.body)["revision"])}
        response = await self.operate(entry, "PUT", path, value, **headers)
        if response.code != 200:
            raise RuntimeError(f"{kind} {name}: {response.code} {response.body!r}")

    async def grant_key(self, entry: EntryInstance, team: str) -> None:
        """Grant a key to a team and remember it."""
        response = await self.operate(entry, "POST", "/v1/keys", {"team": team})
        document = json.loads(response.body)
        self.keys[team] = document["key"]
        self.digests[team] = document["digest"]

    async def configure(
        self,
        queues: dict[str, dict[str, Any]],
        teams: dict[str, dict[str, Any]],
        pools: dict[str, dict[str, Any]] | None = None,
        presets: dict[str, dict[str, Any]] | None = None,
    ) -> None:
        """Write a configuration through the first entry instance."""
        entry = next(iter(self.entries.values()))
        await self.wait_for_writer(entry)
        for pool in self._shape.pools:
            await self.put_record(entry, "pools", pool, (pools or {}).get(pool, {}))
        for name, team in teams.items():
            await self.put_record(entry, "teams", name, team)
            await self.grant_key(entry, name)
        for name, queue in queues.items():
            await self.put_record(entry, "queues", name, queue)
        for name, preset in (presets or {"ordinary": {}}).items():
            await self.put_record(entry, "presets", name, preset)
        await self._add_workers(entry)
        first = next(iter(presets or {"ordinary": {}}))
        await self.operate(entry, "PUT", "/v1/preset", {"preset": first})
        await self.wait_for_revision()

    async def _add_workers(self, entry: EntryInstance) -> None:
        for name, address in self.workers.items():
            pool, zone_kind, zone, number = name.rsplit("-", 3)
            record = {
                "pool": pool,
                "zone": f"{zone_kind}-{zone}",
                "rack": f"{zone}{int(number) // 2}",
                "address": address,
                "slots": self._shape.slots,
            }
            await self.put_record(entry, "instances", name, record)

    async def status(self, entry: EntryInstance) -> dict[str, Any]:
        """Return the status that an entry instance gives."""
        response = await self.operate(entry, "GET", "/v1/status")
        return json.loads(response.body)

    async def wait_for_revision(self) -> None:
        """Wait until every entry instance has the newest configuration."""

        async def agree() -> bool:
            revisions = set()
            for entry in self.entries.values():
                status = await self.status(entry)
                revisions.add(status["revision"])
                alive = [item for item in status["instances"] if item["reachable"]]
                if len(alive) < len(self.entries):
                    return False
            return len(revisions) == 1

        await self.wait_until(agree, "configuration in force", READY_SECONDS)
