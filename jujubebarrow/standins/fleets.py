"""Test fleet of daemons, workers and a platform as processes on one machine."""

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
READY_TIMEOUT_SECONDS = 30.0
POLL_PERIOD_SECONDS = 0.1
CONNECTION_LIMIT = 400
NO_RESPONSE_STATUS = 599


@dataclass
class EntryInstance:
    """Entry instance of the fleet.

    Attributes:
        name: Name of the instance.
        zone: Availability zone of the instance.
        caller_port: Port for requests of callers.
        operator_port: Port for requests of operators.
        peer_port: Port for links from other instances.
        settings_path: Path of the settings file.
        process: Current process of the instance; None before the first start.
    """

    name: str
    zone: str
    caller_port: int
    operator_port: int
    peer_port: int
    settings_path: Path
    process: ChildProcess | None = None


@dataclass
class FleetShape:
    """Size and settings of a fleet.

    Attributes:
        zones: Names of the availability zones.
        entries_per_zone: Number of entry instances in each zone.
        workers_per_zone: Number of workers in each zone, by pool.
        slots: Number of slots of each worker.
        run_time: Run time of a task in seconds.
        overrides: Settings of the entry instances that differ from the defaults.
        seed: Seed of the platform's random faults.
        instance_list_delay_seconds: Time until a change of the instance list is
            visible.
        has_process_per_worker: Whether each worker has a separate process.
    """

    zones: tuple[str, ...] = ("zone-a", "zone-b")
    entries_per_zone: int = 2
    workers_per_zone: dict[str, int] = field(default_factory=lambda: {"labels": 2})
    slots: int = 8
    run_time: float = 0.02
    overrides: dict[str, Any] = field(default_factory=dict)
    seed: int = 1
    instance_list_delay_seconds: float = 0.2
    has_process_per_worker: bool = False


class Fleet:
    """Starts the stand-ins and the daemons, and sends requests to them.

    Args:
        shape: Size and settings of the fleet.

    Attributes:
        folder: Directory of the settings files and the logs.
        client: HTTP client for all requests.
        entries: Entry instances by name.
        workers: Address of each worker, by name.
        keys: Key of each team.
        digests: Digest of each team's key.
        platform_port: Port of the platform stand-in.
    """

    def __init__(self, shape: FleetShape):
        self._shape = shape
        self._stack = ExitStack()
        self.folder = Path()
        self.client: AsyncHTTPClient = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=CONNECTION_LIMIT
        )
        self.entries: dict[str, EntryInstance] = {}
        self.workers: dict[str, str] = {}
        self.keys: dict[str, str] = {}
        self.digests: dict[str, str] = {}
        self.platform_port = 0
        self._worker_processes: list[ChildProcess] = []

    async def __aenter__(self) -> "Fleet":
        """Start all processes; wait for the platform, but not for the daemons."""
        task = current_task()
        if task is not None:
            # SIGTERM cancels this task so that the cleanup kills the child processes.
            get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        folder = TemporaryDirectory(prefix="jujubebarrow-")
        self.folder = Path(self._stack.enter_context(folder))
        try:
            self._start_platform()
            self._start_workers()
            self._prepare_entries()
            await self._wait_for_platform()
            await self.publish_instance_list()
            for entry in self.entries.values():
                self.start_entry(entry)
        except BaseException:
            self._stack.close()
            raise
        return self

    async def __aexit__(self, *details: object) -> None:
        """Kill all processes of the fleet."""
        self._stack.close()
        self.client.close()

    def _start(self, name: str, module: str, arguments: list[str]) -> ChildProcess:
        process = ChildProcess(name, module, arguments, self.folder)
        self._stack.callback(process.kill)
        return process

    def _start_platform(self) -> None:
        self.platform_port = find_ports(1)[0]
        arguments = ["--port", str(self.platform_port)]
        arguments += [
            "--seed",
            str(self._shape.seed),
            "--lag",
            str(self._shape.instance_list_delay_seconds),
        ]
        self._start("platform", "jujubebarrow.standins.platforms", arguments)

    def _start_workers(self) -> None:
        ports = []
        for pool, count in self._shape.workers_per_zone.items():
            for zone in self._shape.zones:
                for number, port in enumerate(find_ports(count)):
                    name = f"{pool}-{zone}-{number}"
                    self.workers[name] = f"{LOOPBACK}:{port}"
                    ports.append(str(port))
        arguments = ["--slots", str(self._shape.slots)]
        arguments += ["--run-time", str(self._shape.run_time), "--ports"]
        groups = (
            [[port] for port in ports]
            if self._shape.has_process_per_worker
            else [ports]
        )
        for number, group in enumerate(groups):
            module = "jujubebarrow.standins.workers"
            process = self._start(f"workers-{number}", module, [*arguments, *group])
            self._worker_processes.append(process)

    def kill_workers(self) -> None:
        """Kill all worker processes."""
        for process in self._worker_processes:
            process.kill()

    def _prepare_entries(self) -> None:
        entry_ports = []
        for zone in self._shape.zones:
            for number in range(self._shape.entries_per_zone):
                entry_ports.append((f"entry-{zone}-{number}", zone, find_ports(3)))
        peers = [f"{LOOPBACK}:{ports[2]}" for _, _, ports in entry_ports]
        for name, zone, ports in entry_ports:
            self.add_entry(name, zone, ports, peers)

    def add_entry(
        self, name: str, zone: str, ports: list[int], peers: list[str]
    ) -> EntryInstance:
        """Write the settings file of an entry instance and add the instance."""
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
            entry.name,
            "jujubebarrow.daemons.main",
            ["--settings", str(entry.settings_path)],
        )

    def read_log(self, name: str) -> str:
        """Return the log of a process.

        Args:
            name: Name of the process: an entry instance, "platform" or "workers-0".
        """
        return (self.folder / f"{name}.log").read_text()

    async def fetch(
        self, method: str, url: str, body: Any = None, **headers: str
    ) -> HTTPResponse:
        """Send a request and return the response, whatever its status.

        Without a response, the returned status is 599.

        Args:
            method: HTTP method.
            url: Address of the resource.
            body: Bytes, or a document to send as JSON; None for no body.
            headers: Header fields, with "_" for "-" in the names.
        """
        data = body if isinstance(body, bytes) or body is None else json.dumps(body)
        if data is None and method in ("POST", "PUT"):
            data = b""
        header_fields = {key.replace("_", "-"): value for key, value in headers.items()}
        request = HTTPRequest(
            url,
            method=method,
            body=data,
            headers=header_fields,
            request_timeout=60,
            connect_timeout=10,
        )
        try:
            return await self.client.fetch(request, raise_error=False)
        except (OSError, HTTPClientError) as error:
            return HTTPResponse(
                request, NO_RESPONSE_STATUS, buffer=BytesIO(), error=error
            )

    async def send_operator_request(
        self, entry: EntryInstance, method: str, path: str, body: Any = None, **headers
    ) -> HTTPResponse:
        """Send an operator's request to an entry instance."""
        url = f"http://{LOOPBACK}:{entry.operator_port}{path}"
        authorization = f"Bearer {OPERATOR_KEY}"
        return await self.fetch(
            method, url, body, Authorization=authorization, **headers
        )

    async def send_caller_request(
        self, entry: EntryInstance, queue: str, team: str, body: Any = None, **headers
    ) -> HTTPResponse:
        """Send a caller's request to a queue."""
        url = f"http://{LOOPBACK}:{entry.caller_port}/v1/queues/{queue}/requests"
        if team:
            headers["Authorization"] = f"Bearer {self.keys[team]}"
        return await self.fetch("POST", url, body or {"label": 1}, **headers)

    async def configure_platform(self, **document: Any) -> None:
        """Set the faults or the instance list of the platform stand-in."""
        url = f"http://{LOOPBACK}:{self.platform_port}/administration"
        await self.fetch("POST", url, document)

    async def publish_instance_list(self, **states: str) -> None:
        """Set the platform's instance list.

        Args:
            states: State of each instance that is not live, with "_" for "-" in the
                name; "gone" removes the instance from the list.
        """
        instance_states = {name: "live" for name in [*self.entries, *self.workers]}
        instance_states.update(
            {name.replace("_", "-"): state for name, state in states.items()}
        )
        remaining = {
            name: state for name, state in instance_states.items() if state != "gone"
        }
        await self.configure_platform(instances=remaining)

    async def set_worker_faults(self, worker: str, **faults: Any) -> None:
        """Replace the faults of a worker."""
        await self.fetch("POST", f"http://{self.workers[worker]}/faults", faults)

    async def fetch_worker_record(self, worker: str) -> dict[str, Any]:
        """Return the tasks that a worker has recorded, and its counters."""
        response = await self.fetch("GET", f"http://{self.workers[worker]}/record")
        return json.loads(response.body)

    async def fetch_started_tasks(self) -> list[dict[str, Any]]:
        """Return the tasks that the workers have started."""
        tasks: list[dict[str, Any]] = []
        for worker in self.workers:
            tasks.extend((await self.fetch_worker_record(worker))["tasks"])
        return tasks

    async def wait_until(
        self, check: Callable[[], Awaitable[bool]], description: str, seconds: float
    ) -> float:
        """Wait until a condition is met and return the elapsed time in seconds.

        Args:
            check: Returns whether the condition is met.
            description: Description of the condition for the error message.
            seconds: Maximum time to wait.

        Raises:
            TimeoutError: The condition was not met in time.
        """
        start = time.monotonic()
        while time.monotonic() - start < seconds:
            if await check():
                return time.monotonic() - start
            await sleep(POLL_PERIOD_SECONDS)
        raise TimeoutError(f"condition not met within {seconds} s: {description}")

    async def _wait_for_platform(self) -> None:
        async def is_platform_up() -> bool:
            url = f"http://{LOOPBACK}:{self.platform_port}/instances"
            return (await self.fetch("GET", url)).code == 200

        await self.wait_until(
            is_platform_up, "platform accepts requests", READY_TIMEOUT_SECONDS
        )

    async def wait_for_writer(self, entry: EntryInstance) -> None:
        """Wait until an entry instance accepts configuration changes."""

        async def is_writable() -> bool:
            # The request has no If-Match header. An instance that accepts changes
            # rejects the request only for this reason, so that no record is written.
            response = await self.send_operator_request(
                entry, "PUT", "/v1/records/pools/none", {}
            )
            return response.code == 400 and b"If-Match" in response.body

        await self.wait_until(
            is_writable,
            f"{entry.name} accepts configuration changes",
            READY_TIMEOUT_SECONDS,
        )

    async def put_record(
        self, entry: EntryInstance, kind: str, name: str, value: dict[str, Any]
    ) -> None:
        """Create or replace a configuration record."""
        path = f"/v1/records/{kind}/{name}"
        current = await self.send_operator_request(entry, "GET", path)
        headers = {"If_None_Match": "*"}
        if current.code == 200:
            headers = {"If_Match": str(json.loads(current.body)["revision"])}
        response = await self.send_operator_request(
            entry, "PUT", path, value, **headers
        )
        if response.code != 200:
            raise RuntimeError(
                f"record {kind}/{name} was rejected with status {response.code}: "
                f"{response.body!r}"
            )

    async def create_key(self, entry: EntryInstance, team: str) -> None:
        """Create a key for a team and keep the key for later requests of the team."""
        response = await self.send_operator_request(
            entry, "POST", "/v1/keys", {"team": team}
        )
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
        """Write the configuration through the first entry instance.

        Args:
            queues: Records of the queues by name.
            teams: Records of the teams by name; each team also gets a key.
            pools: Records of the pools by name; a missing pool gets the defaults.
            presets: Records of the presets by name. The first preset is selected;
                without presets, a default preset is created and selected.
        """
        entry = next(iter(self.entries.values()))
        await self.wait_for_writer(entry)
        for pool in self._shape.workers_per_zone:
            await self.put_record(entry, "pools", pool, (pools or {}).get(pool, {}))
        for name, team in teams.items():
            await self.put_record(entry, "teams", name, team)
            await self.create_key(entry, name)
        for name, queue in queues.items():
            await self.put_record(entry, "queues", name, queue)
        for name, preset in (presets or {"ordinary": {}}).items():
            await self.put_record(entry, "presets", name, preset)
        await self._add_workers(entry)
        first_preset = next(iter(presets or {"ordinary": {}}))
        await self.send_operator_request(
            entry, "PUT", "/v1/preset", {"preset": first_preset}
        )
        await self.wait_for_same_revision()

    async def _add_workers(self, entry: EntryInstance) -> None:
        for name, address in self.workers.items():
            pool, zone_prefix, zone_suffix, number = name.rsplit("-", 3)
            record = {
                "pool": pool,
                "zone": f"{zone_prefix}-{zone_suffix}",
                "rack": f"{zone_suffix}{int(number) // 2}",
                "address": address,
                "slots": self._shape.slots,
            }
            await self.put_record(entry, "instances", name, record)

    async def fetch_status(self, entry: EntryInstance) -> dict[str, Any]:
        """Return the status that an entry instance reports."""
        response = await self.send_operator_request(entry, "GET", "/v1/status")
        return json.loads(response.body)

    async def wait_for_same_revision(self) -> None:
        """Wait until all entry instances are reachable and have the same revision."""

        async def have_same_revision() -> bool:
            revisions = set()
            for entry in self.entries.values():
                status = await self.fetch_status(entry)
                revisions.add(status["revision"])
                reachable = [item for item in status["instances"] if item["reachable"]]
                if len(reachable) < len(self.entries):
                    return False
            return len(revisions) == 1

        await self.wait_until(
            have_same_revision,
            "all entry instances have the same configuration revision",
            READY_TIMEOUT_SECONDS,
        )
