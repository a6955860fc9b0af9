"""A job with many tasks is handed in, and a small one to the same queue."""

import asyncio
from pathlib import Path

from harness.fleets import Deployment, play
from harness.records import Record

LARGE = "/orders/5c0e7a21d94b36f8"
SMALL = "/orders/77d2b05f3c1e9a46"
LARGE_COUNT = 1000
USUAL_COUNT = 100
STEP_COUNT = 3
TASK_CPU = 10
FINISH_SECONDS = 14.0
"""``Bounds.finish_s`` of the settings."""
IDLE_SECONDS = 3.0


async def play_case(deployment: Deployment, has_trouble: bool) -> list[str]:
    """Submit both jobs and look whether they run."""
    count = LARGE_COUNT if has_trouble else USUAL_COUNT
    step = {"Count": count, "Cpu": TASK_CPU, "MemMb": 4, "EstimateMs": 1000}
    large = {"Spec": str([1000] * STEP_COUNT), "Steps": [step] * STEP_COUNT}
    await deployment.submit(LARGE, large)
    await asyncio.sleep(2.0)
    await deployment.submit(SMALL, {"Spec": "[1000]", "Steps": [step | {"Count": 2}]})
    await asyncio.sleep(FINISH_SECONDS)
    before = len(deployment.record.runs)
    states = [await deployment.read_state(target) for target in (LARGE, SMALL)]
    await asyncio.sleep(IDLE_SECONDS)
    is_idle = not any(worker.running for worker in deployment.workers)
    is_idle = is_idle and len(deployment.record.runs) == before
    deployment.record.write(f"store  {deployment.store.refused} transactions refused")
    return [
        f"{target} is {state}, and nothing has run for {IDLE_SECONDS} s"
        for target, state in zip((LARGE, SMALL), states, strict=True)
        if state != "completed" and is_idle
    ]


def make_deployment(record: Record) -> Deployment:
    """Return the deployment of the case."""
    return Deployment(record, {"r-orders": {"Prefix": "/orders/"}})


if __name__ == "__main__":
    play(Path(__file__).parent, make_deployment, play_case)
