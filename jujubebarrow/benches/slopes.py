"""Slopes from which docs/CAPACITY.md is worked out."""

import json
import sys
import time
from asyncio import create_task, run, sleep
from collections.abc import Awaitable, Callable
from dataclasses import asdict
from pathlib import Path

from jujubebarrow.benches.decisions import (
    time_control,
    time_start,
    weigh_configuration,
)
from jujubebarrow.benches.fits import fit
from jujubebarrow.benches.meters import Reading, measure
from jujubebarrow.standins.fleets import Fleet, FleetShape

SETTLE_SECONDS = 4.0
MEASURE_SECONDS = 10.0
OUTPUT = Path("out/slopes.json")

Sizes = tuple[int, ...]


async def measure_shape(
    shape: FleetShape, teams: int = 2, rate: float = 0.0
) -> Reading:
    """Return the use of the first entry instance of an idle fleet."""
    queues = {pool: {"pool": pool} for pool in shape.pools}
    names = {f"team-{number}": {"limit": 64} for number in range(teams)}
    async with Fleet(shape) as fleet:
        await fleet.configure(queues, names)
        entry = next(iter(fleet.entries.values()))
        await sleep(SETTLE_SECONDS)
        changes = create_task(_change(fleet, rate))
        reading = await measure(fleet, entry, MEASURE_SECONDS)
        changes.cancel()
        return reading


async def _change(fleet: Fleet, rate: float) -> None:
    last = list(fleet.entries.values())[-1]
    number = 0
    while rate:
        number += 1
        start = time.monotonic()
        await fleet.put_record(last, "teams", "team-0", {"limit": 10 + number % 50})
        await sleep(max(0.0, 1 / rate - (time.monotonic() - start)))


async def by_peers(size: int) -> Reading:
    """Return the use with a number of peers."""
    return await measure_shape(FleetShape(zones=("zone-a",), entries=size + 1))


async def by_workers(size: int) -> Reading:
    """Return the use of the only home of a number of idle workers."""
    shape = FleetShape(zones=("zone-a",), entries=1, pools={"labels": size})
    return await measure_shape(shape)


async def by_pools(size: int) -> Reading:
    """Return the use of the only home of a number of pools of one worker."""
    pools = {f"pool{number}": 1 for number in range(size)}
    shape = FleetShape(zones=("zone-a",), entries=2, pools=pools)
    return await measure_shape(shape)


async def by_teams(size: int) -> Reading:
    """Return the use with a number of teams."""
    return await measure_shape(FleetShape(zones=("zone-a",), entries=2), teams=size)


async def by_changes(size: int) -> Reading:
    """Return the use with a number of configuration changes a second."""
    shape = FleetShape(zones=("zone-a",), entries=2)
    return await measure_shape(shape, rate=float(size))


MEASURED: dict[str, tuple[Sizes, Callable[[int], Awaitable[Reading]]]] = {
    "peer": ((1, 3, 5, 7, 11), by_peers),
    "worker": ((4, 16, 32, 64), by_workers),
    "pool": ((2, 8, 16, 32), by_pools),
    "team": ((2, 16, 32, 64), by_teams),
    "change/s": ((0, 2, 5, 10), by_changes),
}
RECORD_SIZES = (500, 1000, 2000, 4000)
UNITS = {
    "processor": (100.0, "% of a core"),
    "memory": (1 / 1024**2, "MiB"),
    "peer_bytes": (1 / 1024, "KiB/s"),
    "store_reads": (1.0, "reads/s"),
    "store_writes": (1.0, "writes/s"),
}
TIMED: dict[str, tuple[Sizes, Callable[[int], float]]] = {
    "start, by workers": ((8, 16, 32, 64, 128), lambda size: time_start(size, 4)),
    "start, by teams": ((4, 16, 32, 61), lambda size: time_start(8, size)),
    "control round, by instances": ((500, 1000, 2000, 4000), time_control),
}


async def run_slopes() -> dict[str, dict[str, object]]:
    """Measure all slopes and print them."""
    results: dict[str, dict[str, object]] = {}
    for name, (sizes, measured) in MEASURED.items():
        readings = {size: await measured(size) for size in sizes}
        for field, (factor, unit) in UNITS.items():
            points = {
                float(size): getattr(reading, field) * factor
                for size, reading in readings.items()
            }
            results[f"{field} by {name}"] = _report(f"{field} by {name}", points, unit)
    for name, (sizes, timed) in TIMED.items():
        points = {float(size): timed(size) * 1000 for size in sizes}
        results[name] = _report(name, points, "ms")
    name = "memory by instance record"
    points = {float(n): weigh_configuration(n) / 1024 for n in RECORD_SIZES}
    results[name] = _report(name, points, "KiB")
    return results


def _report(name: str, points: dict[float, float], unit: str) -> dict[str, object]:
    line = fit(points)
    values = ", ".join(f"{size:g}: {value:.3g}" for size, value in points.items())
    print(
        f"{name:<30} slope {line.slope:9.4g} base {line.base:9.4g} "
        f"residual {line.residual:8.3g} {unit} ({values})",
        flush=True,
    )
    return {"unit": unit, "points": points, **asdict(line)}


def main() -> None:
    """Measure and write the results."""
    results = run(run_slopes())
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps(results, indent=2))
    sys.exit(0)


if __name__ == "__main__":
    main()
