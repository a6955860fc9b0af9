"""Runs a fleet on one machine under mixed load, with two injected faults.

First an entry instance is killed, later the platform is unreachable for some seconds.
"""

import sys
from asyncio import create_task, run, sleep

from jujubebarrow.benches.audits import audit
from jujubebarrow.benches.loads import Load, LoadStream
from jujubebarrow.benches.outcomes import Audit
from jujubebarrow.standins.fleets import Fleet, FleetShape

SEED = 20261203
LOAD_SECONDS = 30.0
KILL_DELAY_SECONDS = 8.0
PLATFORM_OUTAGE_DELAY_SECONDS = 6.0
PLATFORM_OUTAGE_SECONDS = 4.0
JOB_WAIT_SECONDS = 60.0

QUEUES = {
    "labels": {"pool": "labels"},
    "certificates": {"pool": "certificates", "idempotent": False},
    "orders": {"pool": "orders", "idempotent": False},
    "verify": {"pool": "labels", "open": True},
    "reconciliation": {"pool": "labels", "priority": "overnight"},
}
TEAMS = {
    "longliners": {"share": 3, "limit": 24},
    "reef-packers": {"share": 2, "limit": 16},
    "prawn-farms": {"share": 1, "limit": 8},
}
STREAMS = [
    LoadStream("longliners", "labels", 30),
    LoadStream("reef-packers", "labels", 20),
    LoadStream("prawn-farms", "labels", 10),
    LoadStream("longliners", "certificates", 15),
    LoadStream("reef-packers", "certificates", 10),
    LoadStream("prawn-farms", "orders", 10),
    LoadStream("", "verify", 15),
    LoadStream("longliners", "reconciliation", 4, is_job=True),
    LoadStream("prawn-farms", "reconciliation", 2, is_job=True),
]
AT_MOST_ONCE_QUEUES = frozenset({"certificates", "orders", "reconciliation"})


async def run_demo() -> Audit:
    """Run the fleet and return the audit of all responses."""
    pools = {"labels": 2, "certificates": 2, "orders": 1}
    shape = FleetShape(workers_per_zone=pools, run_time=0.05, seed=SEED)
    async with Fleet(shape) as fleet:
        await fleet.configure(QUEUES, TEAMS)
        load = Load(fleet, STREAMS, SEED)
        load_task = create_task(load.run(LOAD_SECONDS))
        await _inject_faults(fleet)
        await load_task
        completed_jobs = await load.wait_for_jobs(JOB_WAIT_SECONDS)
        limits = {team: int(record["limit"]) for team, record in TEAMS.items()}
        tasks = await fleet.fetch_started_tasks()
        return audit(load.outcomes, tasks, AT_MOST_ONCE_QUEUES, limits, completed_jobs)


async def _inject_faults(fleet: Fleet) -> None:
    await sleep(KILL_DELAY_SECONDS)
    killed_entry = list(fleet.entries.values())[0]
    if killed_entry.process is not None:
        killed_entry.process.kill()
    print(f"killed {killed_entry.name}")
    await sleep(PLATFORM_OUTAGE_DELAY_SECONDS)
    await fleet.configure_platform(faults={"down": True})
    print("platform cut")
    await sleep(PLATFORM_OUTAGE_SECONDS)
    await fleet.configure_platform(faults={})
    print("platform back")
    fleet.start_entry(killed_entry)
    print(f"started {killed_entry.name} again")


def print_audit(report: Audit) -> None:
    """Print the audit as a table, followed by the errors by kind."""
    rows = [
        ("sent", report.sent),
        ("answered", report.answered),
        ("accepted as jobs", report.accepted),
        ("refused, not run", report.not_run),
        ("unknown", report.unknown),
        ("lost", report.lost),
        ("doubled", report.duplicated),
        ("untrue refusals", report.false_refusals),
        ("teams over limit", report.teams_over_limit),
        ("p50 [ms]", round(report.p50 * 1000, 1)),
        ("p99 [ms]", round(report.p99 * 1000, 1)),
    ]
    for name, value in rows:
        print(f"{name:<18}{value:>10}")
    for error, count in sorted(report.errors.items()):
        print(f"  {error:<24}{count:>6}")


def main() -> None:
    """Run the demo and exit with 0 if the audit found no fault, otherwise with 1."""
    report = run(run_demo())
    print_audit(report)
    sys.exit(0 if report.is_clean else 1)


if __name__ == "__main__":
    main()
