"""Measures how resource usage grows with the size of a fleet.

The capacity figures in docs/CAPACITY.md are computed from the resulting slopes.
"""

import json
import sys
import time
from asyncio import create_task, run, sleep
from collections.abc import Awaitable, Callable
from dataclasses import asdict
from pathlib import Path

from jujubebarrow.benches.decisions import (
    measure_configuration_bytes,
    time_planning_round,
    time_scheduling,
)
from jujubebarrow.benches.fits import fit
from jujubebarrow.benches.meters import ResourceUsage, measure_usage
from jujubebarrow.standins.fleets import Fleet, FleetShape

SETTLE_SECONDS = 4.0
MEASURE_SECONDS = 10.0
OUTPUT_FILE = Path("out/slopes.json")

Sizes = tuple[int, ...]


async def measure_fleet(
    shape: FleetShape, team_count: int = 2, changes_per_second: float = 0.0
) -> ResourceUsage:
    """Return the resource usage of the first entry instance of an idle fleet.

    Args:
        shape: Size and settings of the fleet.
        team_count: Number of teams.
        changes_per_second: Rate of configuration changes during the measurement.
    """
    queues = {pool: {"pool": pool} for pool in shape.workers_per_zone}
    team_records = {f"team-{number}": {"limit": 64} for number in range(team_count)}
    async with Fleet(shape) as fleet:
        await fleet.configure(queues, team_records)
        entry = next(iter(fleet.entries.values()))
        await sleep(SETTLE_SECONDS)
        writer = create_task(_write_configuration_changes(fleet, changes_per_second))
        usage = await measure_usage(fleet, entry, MEASURE_SECONDS)
        writer.cancel()
        return usage


async def _write_configuration_changes(fleet: Fleet, changes_per_second: float) -> None:
    last_entry = list(fleet.entries.values())[-1]
    number = 0
    while changes_per_second:
        number += 1
        start = time.monotonic()
        await fleet.put_record(
            last_entry, "teams", "team-0", {"limit": 10 + number % 50}
        )
        await sleep(max(0.0, 1 / changes_per_second - (time.monotonic() - start)))


async def measure_by_peers(size: int) -> ResourceUsage:
    """Return the resource usage of an entry instance with a number of peers."""
    return await measure_fleet(FleetShape(zones=("zone-a",), entries_per_zone=size + 1))


async def measure_by_workers(size: int) -> ResourceUsage:
    """Return the resource usage of a single home with a number of idle workers."""
    shape = FleetShape(
        zones=("zone-a",), entries_per_zone=1, workers_per_zone={"labels": size}
    )
    return await measure_fleet(shape)


async def measure_by_pools(size: int) -> ResourceUsage:
    """Return the usage of an entry instance with a number of one-worker pools."""
    pools = {f"pool{number}": 1 for number in range(size)}
    shape = FleetShape(zones=("zone-a",), entries_per_zone=2, workers_per_zone=pools)
    return await measure_fleet(shape)


async def measure_by_teams(size: int) -> ResourceUsage:
    """Return the resource usage of an entry instance with a number of teams."""
    return await measure_fleet(
        FleetShape(zones=("zone-a",), entries_per_zone=2), team_count=size
    )


async def measure_by_changes(size: int) -> ResourceUsage:
    """Return the resource usage at a number of configuration changes per second."""
    shape = FleetShape(zones=("zone-a",), entries_per_zone=2)
    return await measure_fleet(shape, changes_per_second=float(size))


FLEET_MEASUREMENTS: dict[
    str, tuple[Sizes, Callable[[int], Awaitable[ResourceUsage]]]
] = {
    "peer": ((1, 3, 5, 7, 11), measure_by_peers),
    "worker": ((4, 16, 32, 64), measure_by_workers),
    "pool": ((2, 8, 16, 32), measure_by_pools),
    "team": ((2, 16, 32, 64), measure_by_teams),
    "change/s": ((0, 2, 5, 10), measure_by_changes),
}
RECORD_COUNTS = (500, 1000, 2000, 4000)
UNITS = {
    "processor": (100.0, "% of a core"),
    "memory": (1 / 1024**2, "MiB"),
    "peer_bytes": (1 / 1024, "KiB/s"),
    "store_reads": (1.0, "reads/s"),
    "store_writes": (1.0, "writes/s"),
}
DECISION_TIMINGS: dict[str, tuple[Sizes, Callable[[int], float]]] = {
    "start, by workers": ((8, 16, 32, 64, 128), lambda size: time_scheduling(size, 4)),
    "start, by teams": ((4, 16, 32, 61), lambda size: time_scheduling(8, size)),
    "control round, by instances": ((500, 1000, 2000, 4000), time_planning_round),
}


async def run_slopes() -> dict[str, dict[str, object]]:
    """Run all measurements, print the slopes and return the results by name."""
    results: dict[str, dict[str, object]] = {}
    for name, (sizes, measure) in FLEET_MEASUREMENTS.items():
        usages = {size: await measure(size) for size in sizes}
        for field, (factor, unit) in UNITS.items():
            points = {
                float(size): getattr(usage, field) * factor
                for size, usage in usages.items()
            }
            results[f"{field} by {name}"] = _report_slope(
                f"{field} by {name}", points, unit
            )
    for name, (sizes, measure_seconds) in DECISION_TIMINGS.items():
        points = {float(size): measure_seconds(size) * 1000 for size in sizes}
        results[name] = _report_slope(name, points, "ms")
    name = "memory by instance record"
    points = {float(n): measure_configuration_bytes(n) / 1024 for n in RECORD_COUNTS}
    results[name] = _report_slope(name, points, "KiB")
    return results


def _report_slope(
    name: str, points: dict[float, float], unit: str
) -> dict[str, object]:
    """Print the fitted line of a measurement and return the result for the file."""
    line = fit(points)
    values = ", ".join(f"{size:g}: {value:.3g}" for size, value in points.items())
    print(
        f"{name:<30} slope {line.slope:9.4g} base {line.base:9.4g} "
        f"residual {line.residual:8.3g} {unit} ({values})",
        flush=True,
    )
    return {"unit": unit, "points": points, **asdict(line)}


def main() -> None:
    """Run all measurements and write the results to the output file."""
    results = run(run_slopes())
    OUTPUT_FILE.parent.mkdir(exist_ok=True)
    OUTPUT_FILE.write_text(json.dumps(results, indent=2))
    sys.exit(0)


if __name__ == "__main__":
    main()
