"""Entry instances as separate processes, between callers and stand-ins with faults."""

import asyncio
from base64 import b64decode, b64encode
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from random import Random, SystemRandom
from tempfile import TemporaryDirectory
from typing import Any

from msgspec import json

from jujubebarrow.identifiers import PoolId
from jujubebarrow.platform.settings_files import PATH_VARIABLE
from jujubebarrow.platform.stores import COMMIT_PATH
from jujubebarrow.standins.emulated_workers import EmulatedWorker, TaskBehaviour
from jujubebarrow.standins.processes import ChildProcess
from jujubebarrow.tests.fakes.platform_loads import (
    HOST,
    KEY,
    KINDS,
    TENANT,
    SiteLoad,
)
from jujubebarrow.tests.fakes.platform_relay_paths import RelayPath
from jujubebarrow.tests.fakes.platform_tables import PlatformTable, Response
from jujubebarrow.tests.fakes.platform_worker_paths import WorkerPath
from jujubebarrow.tests.fakes.resetting_servers import ResettingServer, ServerRequest
from jujubebarrow.workloads.identifiers import WorkerId

RACK = "r1"
LEASE_SECONDS = 6.0
STORE_DELAY_SECONDS = 0.004
LATE_WRITE_RANGE_SECONDS = (1.0, 3.0)
SILENCE_SECONDS = 3.0
RESTART_SECONDS = 0.3
FIRST_PORT = 20_000
PORTS_COUNT = 10
"""Ports of an instance: for callers, readiness, metrics, and peers; the last but one is
for a relay path, so that its address is as long as the one of the peers."""
PEER_PORT_OFFSET = 3
RELAY_PORT_OFFSET = 8
HOLD_PERIOD_SECONDS = 0.01
LOG_LINES_COUNT = 20
"""Lines of an instance's log that explain a failure."""
REFUSED_CALLS_LIMIT = 3
"""Most calls that are refused after a connection was reset."""
RESET_SHARE = 0.4
"""Share of the transactions that get a reset while resets are on."""


class StoreFault(Enum):
    """What becomes of the calls of one instance to the store."""

    NONE = "none"
    BUSY = "503"
    LIMITED = "429"
    RESET = "reset"
    SILENT = "silent"
    APPLY_AND_RESET = "apply-and-reset"
    LATE = "late"


class StorePath:
    """One instance's connections to the store.

    Args:
        table: The store.
        random: Random generator of the faults.

    Attributes:
        fault: Present fault of the calls.
        refuses_configuration: Whether reads of the operator's documents are refused.
        holds_transactions: Whether transactions wait; they are applied afterwards.
    """

    def __init__(
        self, table: PlatformTable, random: Random, peer_addresses: dict[bytes, bytes]
    ):
        self._table = table
        self._peer_addresses = peer_addresses
        self._random = random
        self._refused_calls = 0
        self.fault = StoreFault.NONE
        self.refuses_configuration = False
        self.holds_transactions = False

    async def respond(self, request: ServerRequest) -> Response | None:
        """Return the response to a call; None resets the connection."""
        await asyncio.sleep(STORE_DELAY_SECONDS)
        is_transaction = request.target.startswith(COMMIT_PATH)
        if is_transaction:
            request = await self._take_transaction(request)
        elif self.refuses_configuration and "Table=op&" in f"{request.target}&":
            return 503, b"{}"
        if self._refused_calls:
            self._refused_calls -= 1
            return self._random.choice((429, 503)), b"{}"
        if self.fault in (StoreFault.BUSY, StoreFault.LIMITED):
            return int(self.fault.value), b"{}"
        if self.fault is StoreFault.RESET:
            return None
        if self.fault is StoreFault.SILENT:
            await asyncio.sleep(SILENCE_SECONDS)
            return None
        if is_transaction and self._random.random() < RESET_SHARE:
            if self.fault is StoreFault.APPLY_AND_RESET:
                await self._table.respond(request.target, request.body)
                return self._reset_and_refuse()
            if self.fault is StoreFault.LATE:
                delay_seconds = self._random.uniform(*LATE_WRITE_RANGE_SECONDS)
                call = json.decode(request.body)
                loop = asyncio.get_running_loop()
                loop.call_later(delay_seconds, self._table.transact, call)
                return self._reset_and_refuse()
        return await self._table.respond(request.target, request.body)

    async def _take_transaction(self, request: ServerRequest) -> ServerRequest:
        while self.holds_transactions:
            await asyncio.sleep(HOLD_PERIOD_SECONDS)
        body = replace_addresses(request.body, self._peer_addresses)
        return ServerRequest(request.target, body)

    def _reset_and_refuse(self) -> None:
        self._refused_calls = self._random.randint(1, REFUSED_CALLS_LIMIT)


@dataclass
class SiteEntry:
    """Entry instance of the site.

    Attributes:
        name: Name of the instance.
        host: Loopback address of the instance.
        caller_port: Port for requests of callers.
        settings_path: Path of the settings file.
        store_path: The instance's connections to the store.
        process: Present process of the instance; None before the first start.
        relay_path: Connections from other instances; None if they have no faults.
        is_restarting: Held while the process ends and the next one starts.
    """

    name: str
    host: str
    caller_port: int
    settings_path: Path
    store_path: StorePath
    process: ChildProcess | None = None
    relay_path: RelayPath | None = None
    is_restarting: asyncio.Lock = field(default_factory=asyncio.Lock)

    @property
    def log(self) -> str:
        """Last lines of the log of the instance's processes."""
        if self.process is None:
            return ""
        lines = self.process.log_path.read_text(errors="replace").splitlines()
        return "\n".join(lines[-LOG_LINES_COUNT:])


@dataclass
class PlatformSite:
    """Entry instances, a pool of workers for each queue and the platform's services.

    Attributes:
        random: Random generator of the faults.
        host: Loopback address of the instances, so that sites beside each other do not
            compete for ports.
        entry_count: Number of entry instances.
        load: Queues and workers of the site.
        log_folder: Directory of the instances' logs, which stay there; a temporary one
            if None.
        table: The store.
        entries: Entry instances.
        workers: Workers.
        worker_paths: Interface of each worker.
    """

    random: Random
    host: str = field(default_factory=lambda: draw_loopback_address())
    entry_count: int = 4
    load: SiteLoad = SiteLoad.PLAIN
    log_folder: Path | None = None
    table: PlatformTable = field(default_factory=PlatformTable)
    entries: list[SiteEntry] = field(default_factory=list)
    workers: list[EmulatedWorker] = field(default_factory=list)
    worker_paths: list[WorkerPath] = field(default_factory=list)
    _version: int = 0
    _peer_addresses: dict[bytes, bytes] = field(default_factory=dict)
    _worker_servers: list[ResettingServer] = field(default_factory=list)
    _addresses: list[str] = field(default_factory=list)
    _stack: AsyncExitStack = field(default_factory=AsyncExitStack)

    async def __aenter__(self) -> "PlatformSite":
        """Start all servers and processes; do not wait for the instances."""
        folder = self.log_folder
        if folder is None:
            folder = Path(self._stack.enter_context(TemporaryDirectory()))
        try:
            self.write_configuration()
            for queue in self.load.queues:
                for number in range(self.load.worker_count):
                    name = f"i-{len(self.workers)}"
                    kind = KINDS[number % len(KINDS)]
                    await self._add_worker(name, queue.pool, kind)
            machine_address = await self._serve(_list_no_machines)
            for number in range(self.entry_count):
                await self._add_entry(f"entry-{number}", folder, machine_address)
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(self, *details: object) -> None:
        """Kill all processes and stop all servers."""
        await self._stack.aclose()

    async def _serve(self, respond: Any) -> str:
        return (await self._open_server(respond))[1]

    async def _open_server(self, respond: Any) -> tuple[ResettingServer, str]:
        server = ResettingServer(respond, self.host)
        address = await server.open()
        self._stack.push_async_callback(server.close)
        return server, address

    def write_configuration(
        self, has_key: bool = True, has_keyed_queues: bool = True
    ) -> None:
        """Write the next configuration.

        Args:
            has_key: Whether the tenant has its key.
            has_keyed_queues: Whether the queues that need it are there.
        """
        self._version += 1
        limits = {"TimeoutMs": 3000, "SloMs": 1000, "MaxAttempts": 3}
        routes = [
            {"Name": queue.queue, "Prefix": queue.prefix, "Backend": queue.pool}
            | {"Host": HOST, "Public": not queue.needs_key}
            | limits
            for queue in self.load.queues
            if has_keyed_queues or not queue.needs_key
        ]
        services = [{"Name": queue.pool} for queue in self.load.queues]
        document = {"Version": self._version, "Routes": routes, "Services": services}
        if self.load.has_keys:
            tenant = {"Name": TENANT, "ApiKeys": [KEY] if has_key else []}
            document["Tenants"] = [tenant]
        self.table.write("op", "config", document)

    async def _add_worker(self, name: str, pool: str, kind: str) -> None:
        worker = EmulatedWorker(
            WorkerId(name),
            PoolId(pool),
            self.load.capacity,
            LEASE_SECONDS,
            {},
            labels=(kind, RACK),
            default_behaviour=TaskBehaviour(seconds=self.load.run_seconds),
        )
        path = WorkerPath(worker, Random(self.random.random()))
        path.executes_late = self.load.executes_late
        server, address = await self._open_server(path.respond)
        self.workers.append(worker)
        self.worker_paths.append(path)
        self._worker_servers.append(server)
        self._addresses.append(address)
        self.register(len(self.workers) - 1)

    def register(self, number: int) -> None:
        """Write the registration of a worker.

        Args:
            number: Index of the worker.
        """
        entry = self.workers[number].entry
        document = {
            "Backend": entry.pool,
            "Address": self._addresses[number],
            "State": "ready",
            "Zone": "z",
            "Capacity": {"Cpu": entry.capacity.cpu, "MemMb": entry.capacity.memory},
            "Labels": list(entry.labels),
            "born": entry.started_at_ms,
            "Machine": entry.worker,
        }
        self.table.write("servers", entry.worker, document)

    def crash(self, number: int) -> None:
        """Crash a worker, which closes all of its connections."""
        self.worker_paths[number].crash()
        self._worker_servers[number].abort_connections()

    async def _add_entry(self, name: str, folder: Path, machine_address: str) -> None:
        store_path = StorePath(
            self.table, Random(self.random.random()), self._peer_addresses
        )
        store_address = await self._serve(store_path.respond)
        port = FIRST_PORT + PORTS_COUNT * len(self.entries)
        settings = {
            "NodeName": name,
            "Ip": self.host,
            "Zone": "z",
            "ListenAddrs.FrontAddr": f"{self.host}:{port}",
            "ListenAddrs.ReadyAddr": f"{self.host}:{port + 1}",
            "PortRange": f"{port + 2},{port + PORTS_COUNT - 1}",
            "platform.Address": store_address,
            "CloudApi.Address": machine_address,
            "Bounds.HoldMaxMs": str(round(LEASE_SECONDS * 1000)),
        }
        path = folder / f"{name}.conf"
        path.write_text("".join(f"{key}={text}\n" for key, text in settings.items()))
        entry = SiteEntry(name, self.host, port, path, store_path)
        self.entries.append(entry)
        if self.load.has_relay_faults or self.load.has_keys:
            await self._add_relay_path(entry)
        self._stack.callback(lambda: entry.process and entry.process.kill())
        self.start(entry)

    async def _add_relay_path(self, entry: SiteEntry) -> None:
        peer_port = entry.caller_port + PEER_PORT_OFFSET
        port = entry.caller_port + RELAY_PORT_OFFSET
        random = Random(f"relays {entry.name}")
        entry.relay_path = RelayPath(self.host, port, peer_port, random)
        await entry.relay_path.open()
        self._stack.push_async_callback(entry.relay_path.close)
        peer_address = f"{self.host}:{peer_port}".encode()
        self._peer_addresses[peer_address] = f"{self.host}:{port}".encode()

    def start(self, entry: SiteEntry) -> None:
        """Start the process of an instance."""
        entry.process = ChildProcess(
            entry.name,
            "jujubebarrow.platform.main",
            [],
            entry.settings_path.parent,
            {PATH_VARIABLE: str(entry.settings_path)},
        )

    async def restart(self, entry: SiteEntry, is_graceful: bool) -> None:
        """End the process of an instance by SIGTERM or SIGKILL and start another."""
        async with entry.is_restarting:
            process = entry.process
            if process is None:
                return
            if is_graceful:
                await asyncio.to_thread(process.stop, 8.0)
            else:
                await asyncio.to_thread(process.kill)
            await asyncio.sleep(RESTART_SECONDS)
            self.start(entry)


def replace_addresses(body: bytes, addresses: dict[bytes, bytes]) -> bytes:
    """Return a transaction whose values have other addresses of the same length."""
    if not addresses:
        return body
    call = json.decode(body)
    for row in call["Upserts"]:
        value = b64decode(row["Value"])
        for former, address in addresses.items():
            value = value.replace(former, address)
        row["Value"] = b64encode(value).decode()
    return json.encode(call)


def draw_loopback_address() -> str:
    """Return a random address of the loopback range."""
    random = SystemRandom()
    return "127." + ".".join(str(random.randint(1, 254)) for _ in range(3))


def _list_no_machines(request: ServerRequest) -> Response:
    return 200, json.encode({"Machines": [], "NextToken": ""})
