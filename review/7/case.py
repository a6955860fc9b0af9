"""An accepted gang never runs, since its pool has lent its machines for good."""

import asyncio
import os
import random
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

from fleets import CAPACITY, Fleet, Job  # noqa: E402
from instances import Instance, draw_host_prefix, wait_until_ready  # noqa: E402
from stores import RowStore  # noqa: E402
from wire import call, serve  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "shop.example"
KEY = "key-of-the-tenant"
POOLS = ("alpha", "beta")
MACHINES_PER_POOL = 4
INSTANCES_COUNT = 3
SETTLE_SECONDS = 3.0
BURST_JOBS_COUNT = 30
BURST_GAP_SECONDS = 0.15
CALM_SECONDS = 6.0
GANG_COUNT = 4
GANG_CPU = 1000
FINISH_SECONDS = 14.0
IDLE_SECONDS = 3.0
LIMIT_SECONDS = 110.0
BROKEN, HELD, NOT_RUN = 1, 0, 2


class Case:
    """One run of the case.

    Args:
        folder: Temporary folder of the instances.
    """

    def __init__(self, folder: Path):
        self._folder = folder
        self._began = time.monotonic()
        self._record = (FOLDER / "record.txt").open("w")
        self._jobs: dict[str, Job] = {}
        self._instances: list[Instance] = []
        self._store = RowStore()
        self._fleet = Fleet(self._store, self._jobs, self.write)

    def write(self, line: str) -> None:
        """Write a line to the record."""
        seconds = time.monotonic() - self._began
        self._record.write(f"{seconds:8.3f} {line}\n")
        self._record.flush()

    async def run(self) -> int:
        """Return the exit code."""
        try:
            if not await self._open():
                self.write("the instances did not become ready")
                return NOT_RUN
            return await self._play()
        finally:
            for instance in self._instances:
                instance.kill()

    async def _open(self) -> bool:
        self._store.put("op", "config", _make_configuration())
        for pool in POOLS:
            for _ in range(MACHINES_PER_POOL):
                await self._fleet.add(pool)
        store = await serve(self._store.handle)
        machines = await serve(self._fleet.handle_machines)
        prefix = draw_host_prefix()
        for number in range(1, INSTANCES_COUNT + 1):
            host = f"{prefix}.{number}"
            name = f"front-{number}"
            instance = Instance(name, host, self._folder, store, machines)
            self._instances.append(instance)
            instance.start()
        self._beat = asyncio.create_task(self._fleet.beat())
        if not await wait_until_ready(self._instances):
            return False
        await asyncio.sleep(SETTLE_SECONDS)
        return True

    async def _play(self) -> int:
        self.write(f"pools: {self._describe_pools()}")
        names = []
        for _ in range(BURST_JOBS_COUNT if HAS_TROUBLE else 0):
            step = {"Count": 6, "Cpu": 6000, "MemMb": 500, "EstimateMs": 1000}
            names.append(await self._submit("beta", step))
            await asyncio.sleep(BURST_GAP_SECONDS)
        for name in names:
            while await self._read_state("beta", name) != "completed":
                await asyncio.sleep(0.5)
        await asyncio.sleep(CALM_SECONDS)
        self.write(f"all jobs of beta have ended, pools: {self._describe_pools()}")
        step = {
            "Count": GANG_COUNT,
            "Cpu": GANG_CPU,
            "MemMb": 500,
            "EstimateMs": 1000,
            "Gang": True,
            "AntiAffinity": 1,
        }
        gang = await self._submit("alpha", step)
        await asyncio.sleep(FINISH_SECONDS)
        return await self._judge(gang)

    async def _judge(self, gang: str) -> int:
        """Apply the rule: for 3 s, nothing of the job runs, and there is capacity."""
        capacity = CAPACITY["Cpu"] * len(self._fleet.list_up("alpha"))
        used = 0
        deadline = time.monotonic() + IDLE_SECONDS
        while time.monotonic() < deadline:
            used = max(used, self._count_running("alpha"))
            if any(name == gang for name, _ in self._fleet.gangs):
                self.write("the gang has been started")
                return HELD
            await asyncio.sleep(0.1)
        state = await self._read_state("alpha", gang)
        has_room = 2 * GANG_COUNT * GANG_CPU <= capacity and not used
        self.write(
            f"state {state}, pools: {self._describe_pools()}, capacity of alpha "
            f"{capacity}, runs in alpha {used}, needed {GANG_COUNT * GANG_CPU}"
        )
        if state in ("queued", "running") and has_room:
            self.write("LOST: an accepted job does not run")
            return BROKEN
        return HELD if state == "completed" else NOT_RUN

    def _count_running(self, pool: str) -> int:
        return sum(len(worker.life.running) for worker in self._fleet.list_up(pool))

    def _describe_pools(self) -> str:
        counts = [f"{pool} {len(self._fleet.list_up(pool))}" for pool in POOLS]
        return ", ".join(counts)

    async def _submit(self, pool: str, step: dict[str, Any]) -> str:
        name = f"{random.getrandbits(64):016x}"
        self._jobs[name] = Job(name, step["Count"], 1.0, "Gang" in step)
        document = {"Spec": f"spec of {name}", "Steps": [step]}
        for _ in range(5):
            status, _ = await self._call("POST", pool, name, document)
            self.write(f"POST {pool} {name} {step}: {status}")
            if status == 200:
                return name
            await asyncio.sleep(0.3)
        raise RuntimeError("a job was not accepted")

    async def _read_state(self, pool: str, name: str) -> str:
        status, document = await self._call("GET", pool, name)
        state = document["State"] if status == 200 else ""
        self.write(f"GET {pool} {name}: {status} {state}")
        return state

    async def _call(self, method: str, pool: str, name: str, document: Any = None):
        headers = {
            "Host": HOST,
            "Authorization": f"Token {KEY}",
            "X-Deadline-Ms": "3000",
        }
        address = random.choice(self._instances).address
        return await call(address, method, f"/{pool}/{name}", headers, document)


def _make_configuration() -> dict[str, Any]:
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
        for pool in POOLS
    ]
    services = [
        {"Name": pool, "HealthPath": "/healthz", "EnforceCapacity": False}
        for pool in POOLS
    ]
    tenant = {"Name": "t1", "ApiKeys": [KEY], "Weight": 10, "Maximum": {}}
    return {
        "Version": 1,
        "Routes": routes,
        "Services": services,
        "Limits": {"MaxBodyBytes": 262144},
        "Tenants": [tenant],
    }


async def main() -> None:
    """Run the case and end the process with its exit code."""
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        case = Case(Path(folder))
        try:
            exit_code = await asyncio.wait_for(case.run(), LIMIT_SECONDS)
        except (TimeoutError, RuntimeError) as error:
            case.write(f"not run: {error!r}")
            exit_code = NOT_RUN
    # Open connections of the stand-ins need no orderly end.
    os._exit(exit_code)


if __name__ == "__main__":
    asyncio.run(main())
