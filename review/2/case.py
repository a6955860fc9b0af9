"""A job whose first step ends and whose second step lasts."""

import asyncio
from pathlib import Path

from harness.fleets import Deployment, play
from harness.records import Record

TARGET = "/orders/5c0e7a21d94b36f8"
FINITE_STEP = {"Count": 2, "Cpu": 500, "MemMb": 100, "EstimateMs": 500}
PLAYED_SECONDS = 12.0


async def play_case(deployment: Deployment, has_trouble: bool) -> list[str]:
    """Submit the job and look at the runs of its tasks."""
    second = FINITE_STEP | {"After": [0]}
    durations = "[500, 500]"
    if has_trouble:
        second |= {"LongRunning": True}
        durations = "[500, null]"
    job = {"Spec": durations, "Steps": [FINITE_STEP, second]}
    await deployment.submit(TARGET, job)
    await asyncio.sleep(PLAYED_SECONDS)
    await deployment.read_state(TARGET)
    return deployment.record.find_twice()


def make_deployment(record: Record) -> Deployment:
    """Return the deployment of the case."""
    return Deployment(record, {"r-orders": {"Prefix": "/orders/"}})


if __name__ == "__main__":
    play(Path(__file__).parent, make_deployment, play_case)
