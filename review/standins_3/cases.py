"""Entry point of the cases."""

import asyncio
import os
import signal
import sys
from collections.abc import Awaitable, Callable

from standins_3.sites import Job, Site, UnusableError

LIMIT_SECONDS = 116.0
BROKEN_CODE, HELD_CODE, UNUSABLE_CODE = 1, 0, 2


async def _run(run: Callable[[bool], Awaitable[int]]) -> int:
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    async with asyncio.timeout(LIMIT_SECONDS):
        return await run(os.environ.get("TROUBLE", "1") != "0")


def run_case(run: Callable[[bool], Awaitable[int]]) -> None:
    """Run a case with or without its disruption, and exit with its result.

    Args:
        run: Runs the case; gets whether there is the disruption, and returns the exit
            code.
    """
    try:
        code = asyncio.run(_run(run))
    except (UnusableError, OSError, asyncio.CancelledError) as error:
        print(f"not run: {error!r}")
        code = UNUSABLE_CODE
    sys.exit(code)


def report(site: Site, lost: list[str], jobs: list[Job], what: str) -> int:
    """Write the result of a case about lost jobs; return the exit code."""
    accepted_count = sum(job.accepted_at is not None for job in jobs)
    for line in lost:
        site.record(f"LOST {line}")
    summary = f"{len(lost)} of {accepted_count} accepted {what} are lost"
    site.record(summary)
    print(summary)
    if accepted_count < len(jobs) // 2:
        raise UnusableError("too few jobs were accepted")
    return BROKEN_CODE if lost else HELD_CODE
