"""One entry instance beside a bare proxy, in one run."""

import json
import sys
from asyncio import create_subprocess_exec, run, sleep, subprocess
from statistics import median

from jujubebarrow.benches.drivers import DriverReport
from jujubebarrow.standins.fleets import Fleet, FleetShape
from jujubebarrow.standins.ports import find_ports
from jujubebarrow.standins.processes import ChildProcess

ROUNDS = 5
ROUND_SECONDS = 4.0
CONNECTIONS = 16
TARGET_RATIO = 0.8
TARGET_ADDED_SECONDS = 0.005
PATH = "/v1/queues/labels/requests"


async def drive(port: int, key: str, rate: float) -> DriverReport:
    """Drive one port and return the result."""
    process = await create_subprocess_exec(
        sys.executable,
        "-m",
        "jujubebarrow.benches.drivers",
        "--port",
        str(port),
        "--path",
        PATH,
        "--header",
        f"Authorization: Bearer {key}",
        "--seconds",
        str(ROUND_SECONDS),
        "--rate",
        str(rate),
        "--connections",
        str(CONNECTIONS),
        stdout=subprocess.PIPE,
    )
    output, _ = await process.communicate()
    return DriverReport(**json.loads(output))


async def run_bench() -> bool:
    """Run both in turns and print the comparison; return whether it is good."""
    shape = FleetShape(
        zones=("zone-a",),
        entries=1,
        pools={"labels": 3},
        slots=32,
        run_time=0.0,
        spread=True,
    )
    async with Fleet(shape) as fleet:
        await fleet.configure({"labels": {"pool": "labels"}}, {"tuna": {"limit": 512}})
        bare_port = find_ports(1)[0]
        arguments = ["--port", str(bare_port), "--workers", *fleet.workers.values()]
        module = "jujubebarrow.benches.bare_proxies"
        bare = ChildProcess("bare", module, arguments, fleet.folder)
        try:
            await sleep(1.0)
            entry = next(iter(fleet.entries.values()))
            return await _compare(entry.caller_port, bare_port, fleet.keys["tuna"])
        finally:
            bare.kill()


async def _compare(entry_port: int, bare_port: int, key: str) -> bool:
    entries, bares = [], []
    for _ in range(ROUNDS):
        # In turns, so that a busy machine strikes both.
        bares.append((await drive(bare_port, key, 0)).rate)
        entries.append((await drive(entry_port, key, 0)).rate)
    ratios = [entry / bare for entry, bare in zip(entries, bares, strict=True)]
    print(f"bare proxy      {median(bares):8.0f} requests/s")
    print(f"entry instance  {median(entries):8.0f} requests/s")
    print(f"ratio           {median(ratios):8.2f} (target {TARGET_RATIO})")
    half = median(entries) / 2
    added = []
    for _ in range(ROUNDS):
        bare = await drive(bare_port, key, half)
        entry = await drive(entry_port, key, half)
        added.append(entry.p99 - bare.p99)
        print(f"at {half:.0f}/s: p99 {bare.p99 * 1000:.2f} / {entry.p99 * 1000:.2f} ms")
    print(f"p99 added       {median(added) * 1000:8.2f} ms (target 5)")
    return median(ratios) >= TARGET_RATIO and median(added) < TARGET_ADDED_SECONDS


def main() -> None:
    """Run the bench; the exit code tells whether the targets are met."""
    sys.exit(0 if run(run_bench()) else 1)


if __name__ == "__main__":
    main()
