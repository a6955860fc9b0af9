"""An end that no owner has seen is acknowledged by a late lease renewal."""

import asyncio
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

from cases import BROKEN, HAS_TROUBLE, HELD, NOT_RUN, BaseCase, main  # noqa: E402
from fleets import Worker  # noqa: E402
from late_workers import LateWorker  # noqa: E402

WORKERS_COUNT = 7
LABEL = "b"
FIRST_SECONDS = 0.5
TASK_SECONDS = 0.05
CRASH_AFTER_SECONDS = 0.05
LATE_SECONDS = 2.1
AFTER_END_SECONDS = 0.15
OBSERVED_SECONDS = 30.0
STEP = {
    "Count": 1,
    "Cpu": 1000,
    "MemMb": 500,
    "EstimateMs": 500,
    "Requirements": LABEL,
}


class SilentWorker(LateWorker):
    """Holds a renewal that acknowledges an end, and the next start."""

    is_armed = False

    def __init__(self, *arguments: Any):
        super().__init__(*arguments)
        self.renewal_held = asyncio.Event()
        self.start_held = asyncio.Event()

    def holds(self, target: str, document: dict[str, Any]) -> bool:
        """Hold the first renewal with a position, then the first start after it."""
        if not self.is_armed:
            return False
        if not self.renewal_held.is_set():
            if target == "/-/hold" and document.get("LastSeen", 0) >= 1:
                self.renewal_held.set()
                return True
            return False
        if target == "/-/run-start" and not self.start_held.is_set():
            self.start_held.set()
            return True
        return False


class LateRenewalCase(BaseCase):
    """Plays the restart of a worker between two late orders."""

    async def add_workers(self) -> None:
        """Add the workers; only one has the label."""
        for number in range(WORKERS_COUNT):
            kind = Worker if number else SilentWorker
            worker = kind(self.fleet, self.fleet.next_machine(), self.pools[0])
            if not number:
                worker.labels = [LABEL, "r1-0"]
            await self.fleet.add(worker)

    async def play(self) -> int:
        """Return the exit code."""
        worker = self.fleet.workers[0]
        assert isinstance(worker, SilentWorker)
        worker.is_armed = HAS_TROUBLE
        first = self.make_job(1, FIRST_SECONDS)
        await self.submit(first, STEP)
        if HAS_TROUBLE:
            await asyncio.wait_for(worker.renewal_held.wait(), 10)
        else:
            await asyncio.sleep(2.0)
        second = self.make_job(1, TASK_SECONDS)
        await self.submit(second, STEP)
        if HAS_TROUBLE:
            await asyncio.wait_for(worker.start_held.wait(), 10)
            await self._restart(worker)
        await asyncio.sleep(OBSERVED_SECONDS)
        await self.read_state(second)
        return self._judge(second)

    async def _restart(self, worker: SilentWorker) -> None:
        renewal, start = worker.held
        await asyncio.sleep(CRASH_AFTER_SECONDS)
        worker.crash()
        await asyncio.sleep(LATE_SECONDS)
        worker.restart()
        await worker.execute(*start)
        await asyncio.sleep(AFTER_END_SECONDS)
        await worker.execute(*renewal)
        worker.is_dark = False

    def _judge(self, job: str) -> int:
        """Apply the rule: no start after an end `done` that is taken note of."""
        task = f"{job}.0.0.0"
        runs = [run for name, run in self.fleet.starts if name == task]
        noted = [end[2] for end in self.fleet.noted if end[1] == task]
        self.write(f"runs of {task}: {runs}, ends taken note of: {noted}")
        if not runs or not noted:
            return NOT_RUN
        if max(runs) > min(noted):
            self.write("TWICE: a start after an end done that was taken note of")
            return BROKEN
        return HELD


if __name__ == "__main__":
    asyncio.run(main(LateRenewalCase, FOLDER))
