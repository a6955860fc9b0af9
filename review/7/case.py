"""A gang's task runs again after its worker's restart, although the gang is done."""

import asyncio
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

from cases import BROKEN, HAS_TROUBLE, HELD, NOT_RUN, BaseCase, main  # noqa: E402
from late_workers import LateWorker  # noqa: E402

WORKERS_COUNT = 7
GANG_COUNT = 2
TASK_SECONDS = 0.6
LATE_SECONDS = 4.0
DOWN_SECONDS = 1.5
OBSERVED_SECONDS = 12.0
STEP = {
    "Count": GANG_COUNT,
    "Cpu": 1000,
    "MemMb": 500,
    "EstimateMs": 600,
    "Gang": True,
    "AntiAffinity": 1,
}


class UnansweringWorker(LateWorker):
    """Holds the first copy of the first start of all workers."""

    held_start: list["UnansweringWorker"] = []
    has_trouble = False

    def holds(self, target: str, document: dict[str, Any]) -> bool:
        """Hold the first copy of the first start."""
        if not self.has_trouble or self.held_start or target != "/-/run-start":
            return False
        self.held_start.append(self)
        return True


class GangCase(BaseCase):
    """Plays the restart of a worker after its gang has ended."""

    async def add_workers(self) -> None:
        """Add the workers."""
        UnansweringWorker.has_trouble = HAS_TROUBLE
        for _ in range(WORKERS_COUNT):
            machine = self.fleet.next_machine()
            await self.fleet.add(UnansweringWorker(self.fleet, machine, self.pools[0]))

    async def play(self) -> int:
        """Return the exit code."""
        gang = self.make_job(GANG_COUNT, TASK_SECONDS, is_gang=True)
        began = self.seconds
        await self.submit(gang, STEP)
        while await self.read_state(gang) != "completed":
            await asyncio.sleep(0.1)
        if HAS_TROUBLE:
            [worker] = UnansweringWorker.held_start
            await asyncio.sleep(LATE_SECONDS - DOWN_SECONDS - (self.seconds - began))
            worker.crash()
            await asyncio.sleep(DOWN_SECONDS)
            worker.restart()
            await worker.execute(*worker.held[0])
        await asyncio.sleep(OBSERVED_SECONDS)
        return self._judge()

    def _judge(self) -> int:
        """Apply the rule: an end of a gang's task represents all of them."""
        start_count = len(self.fleet.starts)
        repeated = self.fleet.find_repeated(lambda ended, started: True)
        self.write(f"{start_count} starts, after an end taken note of: {repeated}")
        if repeated:
            self.write("TWICE: a start after an end done that was taken note of")
            return BROKEN
        return HELD if start_count == GANG_COUNT else NOT_RUN


if __name__ == "__main__":
    asyncio.run(main(GangCase, FOLDER))
