"""Base of the scripts: processes, clients, operator and record."""

import asyncio
import os
import random
import tempfile
import time
from abc import ABC, abstractmethod
from pathlib import Path
from signal import SIGTERM
from typing import Any

from fleets import Fleet, Job
from instances import Instance, draw_host_prefix, wait_until_ready
from stores import RowStore
from wire import call, serve

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "shop.example"
KEY = "key-of-the-tenant"
INSTANCES_COUNT = 3
SETTLE_SECONDS = 3.0
LIMIT_SECONDS = 110.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class BaseCase(ABC):
    """One run of a case.

    Args:
        folder: Folder of the case, for the record.
        settings_folder: Temporary folder of the instances.
    """

    pools = ("alpha",)

    def __init__(self, folder: Path, settings_folder: Path):
        self._settings_folder = settings_folder
        self._began = time.monotonic()
        self._record = (folder / "record.txt").open("w")
        self.jobs: dict[str, Job] = {}
        self.instances: list[Instance] = []
        self.store = RowStore()
        self.fleet = Fleet(self.store, self.jobs, self.write)

    @abstractmethod
    async def add_workers(self) -> None:
        """Add the workers of the pool."""

    @abstractmethod
    async def play(self) -> int:
        """Return the exit code."""

    @property
    def seconds(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self._began

    def write(self, line: str) -> None:
        """Write a line to the record."""
        self._record.write(f"{self.seconds:8.3f} {line}\n")
        self._record.flush()

    async def run(self) -> int:
        """Start the processes, play the case and end the processes."""
        try:
            if not await self._open():
                self.write("the instances did not become ready")
                return NOT_RUN
            return await self.play()
        finally:
            for instance in self.instances:
                instance.kill()

    async def _open(self) -> bool:
        self.store.put("op", "config", _make_configuration(self.pools))
        await self.add_workers()
        store = await serve(self.store.handle)
        machines = await serve(self.fleet.handle_machines)
        prefix = draw_host_prefix()
        for number in range(1, INSTANCES_COUNT + 1):
            name = f"front-{number}"
            host = f"{prefix}.{number}"
            instance = Instance(name, host, self._settings_folder, store, machines)
            self.instances.append(instance)
            instance.start()
        self._loops = [
            asyncio.create_task(self.fleet.beat()),
            asyncio.create_task(self.fleet.expire()),
        ]
        if not await wait_until_ready(self.instances):
            return False
        await asyncio.sleep(SETTLE_SECONDS)
        return True

    def make_job(self, count: int, seconds: float, is_gang: bool = False) -> str:
        """Return the id of a new job."""
        name = f"{random.getrandbits(64):016x}"
        self.jobs[name] = Job(name, count, seconds, is_gang)
        return name

    async def submit(
        self,
        name: str,
        step: dict[str, Any],
        deadline_ms: int = 3000,
        pool: str = "alpha",
    ) -> int:
        """Hand a job in once; return the status."""
        document = {"Spec": f"spec of {name}", "Steps": [step]}
        return (await self.call("POST", name, document, deadline_ms, pool))[0]

    async def read_state(self, name: str, pool: str = "alpha") -> str:
        """Return the state of a job; empty if there is none."""
        status, document = await self.call("GET", name, pool=pool)
        return document["State"] if status == 200 else ""

    async def call(
        self,
        method: str,
        name: str,
        document: Any = None,
        deadline_ms: int = 3000,
        pool: str = "alpha",
    ) -> tuple[int, Any]:
        """Send a client's call to any instance."""
        headers = {
            "Host": HOST,
            "Authorization": f"Token {KEY}",
            "X-Deadline-Ms": str(deadline_ms),
        }
        address = random.choice(self.instances).address
        path = f"/{pool}/{name}"
        timeout = deadline_ms / 1000
        answer = await call(address, method, path, headers, document, timeout)
        self.write(f"{method} {name} {document or ''}: {answer[0]} {answer[1] or ''}")
        return answer


def _make_configuration(pools: tuple[str, ...]) -> dict[str, Any]:
    routes = [
        {
            "Name": f"r-{pool}",
            "Host": HOST,
            "Prefix": f"/{pool}/",
            "Type": "unsafe",
            "TimeoutMs": 3000,
            "SloMs": 600,
            "Priority": 0,
            "Backend": pool,
            "MaxAttempts": 3,
            "Stretch": 1.6,
            "Public": False,
        }
        for pool in pools
    ]
    tenant = {"Name": "t1", "ApiKeys": [KEY], "Weight": 10, "Maximum": {}}
    return {
        "Version": 1,
        "Routes": routes,
        "Services": [{"Name": pool, "HealthPath": "/healthz"} for pool in pools],
        "Limits": {"MaxBodyBytes": 262144},
        "Tenants": [tenant],
    }


async def main(case_type: type[BaseCase], folder: Path) -> None:
    """Run a case and end the process with its exit code."""
    with tempfile.TemporaryDirectory(prefix="review-") as settings_folder:
        case = case_type(folder, Path(settings_folder))
        task = asyncio.create_task(case.run())
        # The processes are ended after a SIGTERM as well.
        asyncio.get_running_loop().add_signal_handler(SIGTERM, task.cancel)
        try:
            exit_code = await asyncio.wait_for(task, LIMIT_SECONDS)
        except (TimeoutError, RuntimeError, asyncio.CancelledError) as error:
            case.write(f"not run: {error!r}")
            exit_code = NOT_RUN
    # Open connections of the stand-ins need no orderly end.
    os._exit(exit_code)
