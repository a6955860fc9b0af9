"""Small deployment: entry processes, a store, workers, an operator and clients."""

import asyncio
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack, ExitStack
from pathlib import Path
from typing import Any

from harness.http import Request, Response, Server, call
from harness.records import Record
from harness.stores import StoreStandIn
from harness.workers import WorkerStandIn

ROOT = Path(__file__).resolve().parents[2]
KEY = "key-of-the-first-tenant"
HOST = "jobs.example"
BACKEND = "backend-a"
ZONES = ("zone-a", "zone-b", "zone-c")
PATH_VARIABLE = "JUJUBEBARROW_CONFIG"
KEPT_VARIABLES = ("PATH", "HOME", "LANG")
HELD, BROKEN, UNPLAYED = 0, 1, 2
READY_SECONDS = 30.0
POLL_SECONDS = 0.1
PORT_RANGE = (20000, 32000)
PORT_STEP = 8
PORT_COUNT = 4

SETTINGS = """\
NodeName={name}
Role=entry
MachineClass=frontend
Serves=frontend
Ip=127.0.0.1
Zone={zone}
Region=region
ListenAddrs.FrontAddr=127.0.0.1:{ports[0]}
ListenAddrs.ReadyAddr=127.0.0.1:{ports[1]}
PortRange={first_port},{last_port}
Bootstrap=true
Limits.CpuShare=0.537
Limits.Cores=2
Limits.MemoryMb=300
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Discovery=platform
Entry=vip
HeartbeatMs=1500
FaultTolerance.Machines=1
FaultTolerance.Zones=1
Bounds.SeedLagS=3
Bounds.ContactMs=3000
Bounds.AckMs=4000
Bounds.DrainMs=2000
Bounds.GraceS=6
Bounds.ConfigApplyMs=2000
Bounds.RevokeStrict=true
Bounds.RevokeMs=5000
Bounds.RecoverS=12
Bounds.HoldMaxMs=6000
Bounds.StopGraceMs=400
Bounds.GangTimeoutMs=3000
Bounds.cancel_ms=3000
Bounds.visible_ms=3000
Bounds.early_ms=250
Bounds.finish_s=14
Bounds.status_s=120
Bounds.NoticeMs=4500
Bounds.MoveS=1.5
Bounds.UpkeepS=2
Bounds.FencingEnforced=true
Bounds.LeaseMs=3000
Bounds.PaceMs=100
Bounds.HarmMs=4000
Commands=rpc
platform.Address={store}
platform.form=table
platform.WritesPerS=800
platform.ReadsPerS=2000
platform.TxMs=8.0
platform.PartWrateS=150
platform.RowBytes=65536
platform.CrossShard=false
platform.HistoryS=20
CloudApi.Address={cloud}
CloudApi.RatePerS=64.0
CloudApi.DutyPerS=64.0
"""


def find_ports(count: int) -> int:
    """Return the first of successive free ports, outside the range of clients."""
    while True:
        first = random.randrange(*PORT_RANGE, PORT_STEP)
        with ExitStack() as stack:
            try:
                for port in range(first, first + count):
                    probe = stack.enter_context(socket.socket())
                    probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return first


class Node:
    """Process of the system on one machine.

    Args:
        name: Name of the machine.
        zone: Zone of the machine.
        folder: Folder of the settings file and the log.
        store: Address of the store.
        cloud: Address of the machine service.
    """

    def __init__(self, name: str, zone: str, folder: Path, store: str, cloud: str):
        first = find_ports(PORT_COUNT)
        ports = [first + 2, first + 3]
        self.name = name
        self.front = f"127.0.0.1:{ports[0]}"
        self.ready = f"127.0.0.1:{ports[1]}"
        self._settings = folder / f"{name}.conf"
        self._log = folder / f"{name}.log"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                ports=ports,
                first_port=first,
                last_port=first + 1,
                store=store,
                cloud=cloud,
            )
        )
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        environment = {
            name: os.environ[name] for name in KEPT_VARIABLES if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment[PATH_VARIABLE] = str(self._settings)
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self) -> None:
        """End the process at once."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def read_log(self) -> str:
        """Return what the process has written."""
        return self._log.read_text() if self._log.exists() else ""


class Deployment:
    """Store, workers, entry processes and the operator's configuration.

    Args:
        record: Record of the case.
        routes: Prefix and further fields of each route, by its name.
        worker_count: Number of workers of each service.
        backends: Names of the services.
    """

    def __init__(
        self,
        record: Record,
        routes: dict[str, dict[str, Any]],
        worker_count: int = 3,
        backends: tuple[str, ...] = (BACKEND,),
    ):
        self.record = record
        self.store = StoreStandIn()
        self._cloud = Server(self._serve_cloud)
        self._routes = routes
        self._backends = backends
        self.workers = [
            WorkerStandIn(f"i-{position:04x}{number:04x}", backend, self.store, record)
            for position, backend in enumerate(backends)
            for number in range(1, worker_count + 1)
        ]
        self.nodes: list[Node] = []

    async def open(self, stack: AsyncExitStack) -> None:
        """Start everything and wait until each process is ready."""
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        await self.store.server.open()
        stack.callback(self.store.server.close)
        await self._cloud.open()
        stack.callback(self._cloud.close)
        self.store.put("op", "config", self._make_config())
        for worker in self.workers:
            await worker.open()
            stack.callback(worker.crash)
        for zone in ZONES:
            node = Node(
                f"frontend-{zone}-1",
                zone,
                folder,
                self.store.server.address,
                self._cloud.address,
            )
            self.nodes.append(node)
            stack.callback(node.stop)
            node.start()
        deadline = time.monotonic() + READY_SECONDS
        for node in self.nodes:
            while (await call(node.ready, "GET", "/-/readyz", timeout=1.0))[0] != 200:
                if time.monotonic() > deadline:
                    raise UnplayableError(f"{node.name} is not ready")
                await asyncio.sleep(POLL_SECONDS)
        self.record.write("all processes are ready")
        # Traffic starts some time after the machines do.
        await asyncio.sleep(3.0)

    def _make_config(self) -> dict[str, Any]:
        routes = []
        for name, fields in self._routes.items():
            route = {
                "Name": name,
                "Host": HOST,
                "Type": "unsafe",
                "TimeoutMs": 3000,
                "SloMs": 600,
                "Priority": 0,
                "Backend": BACKEND,
                "MaxAttempts": 2,
                "Stretch": 1.6,
                "Public": False,
            }
            routes.append(route | fields)
        return {
            "Version": 1,
            "Routes": routes,
            "Services": [
                {
                    "Name": backend,
                    "HealthPath": "/healthz",
                    "MaxConns": 64,
                    "EnforceCapacity": False,
                    "Standby": False,
                }
                for backend in self._backends
            ],
            "Limits": {"MaxBodyBytes": 262144},
            "Tenants": [
                {"Name": "tenant-a", "ApiKeys": [KEY], "Weight": 10, "Maximum": {}}
            ],
        }

    async def _serve_cloud(self, request: Request) -> Response:
        if request.path != "/-/machines":
            return Response(409, {"Reason": "busy"})
        machines = [
            {
                "Machine": f"m-{worker.name}",
                "Pool": worker.backend,
                "State": "up",
                "Zone": ZONES[0],
                "Labels": ["a", "r1"],
                "Capacity": {"Cpu": 32000, "MemMb": 65536, "Gpus": 0},
                "Id": worker.name,
            }
            for worker in self.workers
        ]
        return Response(200, {"Machines": machines, "NextToken": None})

    async def ask(
        self, method: str, target: str, document: Any = None, node: int | None = None
    ) -> tuple[int, Any]:
        """Send a client's request to a node, any if None, and record the answer."""
        chosen = random.choice(self.nodes) if node is None else self.nodes[node]
        headers = {
            "Host": HOST,
            "Authorization": f"Token {KEY}",
            "X-Deadline-Ms": "3000",
        }
        self.record.write(f"client {method} {target} is sent to {chosen.name}")
        status, answer = await call(chosen.front, method, target, document, headers)
        self.record.write(f"client {method} {target} is answered {status} {answer}")
        return status, answer

    async def submit(self, target: str, document: dict[str, Any]) -> None:
        """Hand a job in; repeat the request until it is accepted."""
        for _ in range(5):
            if (await self.ask("POST", target, document))[0] == 200:
                return
            await asyncio.sleep(1.0)
        raise UnplayableError(f"{target} was not accepted")

    async def read_state(self, target: str) -> str:
        """Return the state of a job; empty if no node has answered in time."""
        for _ in range(3):
            status, answer = await self.ask("GET", target)
            if status == 200:
                return answer["State"]
            if status == 410:
                return "gone"
            await asyncio.sleep(0.3)
        return ""


class UnplayableError(Exception):
    """The case could not be played."""


Case = Callable[[Deployment, bool], Awaitable[list[str]]]


def play(folder: Path, make: Callable[[Record], Deployment], case: Case) -> None:
    """Play a case and exit with 1 if a rule was broken, 0 if not, 2 if unplayed.

    Args:
        folder: Folder of the case, for ``record.txt``.
        make: Creates the deployment.
        case: Plays the case, with its disruption or without; returns the breaches.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")

    async def run() -> list[str]:
        deployment = make(record)
        task = asyncio.current_task()
        if task is not None:
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with AsyncExitStack() as stack:
            await deployment.open(stack)
            try:
                return await case(deployment, has_trouble)
            finally:
                if kept := os.environ.get("KEEP_LOGS"):
                    for node in deployment.nodes:
                        Path(kept, f"{node.name}.log").write_text(node.read_log())

    try:
        found = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"result the case could not be played: {error!r}")
        print(f"not played: {error!r}")
        sys.exit(UNPLAYED)
    for line in found:
        record.write(f"breach {line}")
    print(f"{len(found)} breaches", *found[:5], sep="\n")
    record.write(f"result {'broken' if found else 'held'}")
    record.close()
    sys.exit(BROKEN if found else HELD)
