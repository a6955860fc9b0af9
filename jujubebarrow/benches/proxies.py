"""Compares the throughput and latency of an entry instance and a bare proxy."""

import json
import sys
from asyncio import create_subprocess_exec, run, sleep, subprocess
from statistics import median

from jujubebarrow.benches.drivers import DriverReport
from jujubebarrow.standins.fleets import Fleet, FleetShape
from jujubebarrow.standins.ports import find_ports
from jujubebarrow.standins.processes import ChildProcess

ROUND_COUNT = 5
ROUND_SECONDS = 4.0
CONNECTION_COUNT = 16
MIN_THROUGHPUT_RATIO = 0.8
MAX_ADDED_P99_SECONDS = 0.005
REQUEST_PATH = "/v1/queues/labels/requests"


async def run_driver(port: int, key: str, rate: float) -> DriverReport:
    """Run the load generator in a separate process and return the result.

    Args:
        port: Port on the loopback address.
        key: Team key for the Authorization header.
        rate: Requests per second; 0 for as many as possible.
    """
    process = await create_subprocess_exec(
        sys.executable,
        "-m",
        "jujubebarrow.benches.drivers",
        "--port",
        str(port),
        "--path",
        REQUEST_PATH,
        "--header",
        f"Authorization: Bearer {key}",
        "--seconds",
        str(ROUND_SECONDS),
        "--rate",
        str(rate),
        "--connections",
        str(CONNECTION_COUNT),
        stdout=subprocess.PIPE,
    )
    output, _ = await process.communicate()
    return DriverReport(**json.loads(output))


async def run_bench() -> bool:
    """Measure the entry instance and the proxy; return whether the targets are met."""
    shape = FleetShape(
        zones=("zone-a",),
        entries_per_zone=1,
        workers_per_zone={"labels": 3},
        slots=32,
        run_time=0.0,
        has_process_per_worker=True,
    )
    async with Fleet(shape) as fleet:
        await fleet.configure({"labels": {"pool": "labels"}}, {"tuna": {"limit": 512}})
        proxy_port = find_ports(1)[0]
        arguments = ["--port", str(proxy_port), "--workers", *fleet.workers.values()]
        module = "jujubebarrow.benches.bare_proxies"
        proxy = ChildProcess("bare", module, arguments, fleet.folder)
        try:
            await sleep(1.0)
            entry = next(iter(fleet.entries.values()))
            return await _compare_with_proxy(
                entry.caller_port, proxy_port, fleet.keys["tuna"]
            )
        finally:
            proxy.kill()


async def _compare_with_proxy(entry_port: int, proxy_port: int, key: str) -> bool:
    entry_rates, proxy_rates = [], []
    for _ in range(ROUND_COUNT):
        # The measurements alternate so that other load on the machine affects both
        # servers alike.
        proxy_rates.append((await run_driver(proxy_port, key, 0)).rate)
        entry_rates.append((await run_driver(entry_port, key, 0)).rate)
    ratios = [
        entry / proxy for entry, proxy in zip(entry_rates, proxy_rates, strict=True)
    ]
    print(f"bare proxy      {median(proxy_rates):8.0f} requests/s")
    print(f"entry instance  {median(entry_rates):8.0f} requests/s")
    print(f"ratio           {median(ratios):8.2f} (target {MIN_THROUGHPUT_RATIO})")
    half_rate = median(entry_rates) / 2
    added_seconds = []
    for _ in range(ROUND_COUNT):
        proxy = await run_driver(proxy_port, key, half_rate)
        entry = await run_driver(entry_port, key, half_rate)
        added_seconds.append(entry.p99 - proxy.p99)
        print(
            f"at {half_rate:.0f}/s: "
            f"p99 {proxy.p99 * 1000:.2f} / {entry.p99 * 1000:.2f} ms"
        )
    print(f"p99 added       {median(added_seconds) * 1000:8.2f} ms (target 5)")
    return (
        median(ratios) >= MIN_THROUGHPUT_RATIO
        and median(added_seconds) < MAX_ADDED_P99_SECONDS
    )


def main() -> None:
    """Run the benchmark and exit with 0 if the targets are met, otherwise with 1."""
    sys.exit(0 if run(run_bench()) else 1)


if __name__ == "__main__":
    main()
