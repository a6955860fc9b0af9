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
AFTER_END_SECONDS = 0.06
REGISTRATION_SECONDS = 0.3
"""Time from the start of the worker to its first registration."""
OBSERVED_SECONDS = 20.0
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
    is_registered = True

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

    def register(self) -> None:
        """Write the registration, unless the worker has just started again."""
        if self.is_registered:
            super().register()

    def restart(self) -> None:
        """Begin a new life, and register a little later."""
        self.is_registered = False
        super().restart()
        asyncio.get_running_loop().call_later(REGISTRATION_SECONDS, self._resume)

    def _resume(self) -> None:
        self.is_registered = True
        self.register()


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

    def _judge(self, job: str) -> int:
        """Apply the rule: no start after an end `done` that is taken note of."""
        task = f"{job}.0.0.0"
        start_count = sum(name == task for name, _ in self.fleet.starts)
        repeated = self.fleet.find_repeated(
            lambda ended, started: ended == started == task
        )
        self.write(f"{start_count} starts, after an end taken note of: {repeated}")
        if repeated:
            self.write("TWICE: a start after an end done that was taken note of")
            return BROKEN
        return HELD if start_count else NOT_RUN


if __name__ == "__main__":
    asyncio.run(main(LateRenewalCase, FOLDER))
