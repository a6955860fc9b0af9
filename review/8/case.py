"""A job runs whose cancelling was answered before its late write was applied."""

import asyncio
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

from cases import BROKEN, HAS_TROUBLE, HELD, NOT_RUN, BaseCase, main  # noqa: E402
from fleets import Worker  # noqa: E402
from stores import RowStore  # noqa: E402
from wire import Response  # noqa: E402

WORKERS_COUNT = 4
LATE_SECONDS = 6.0
NO_ANSWER_SECONDS = 60.0
CLIENT_DEADLINE_MS = 1000
TASK_SECONDS = 12.0
CANCEL_SECONDS = 3.0
STOP_GRACE_SECONDS = 0.4
CALM_SECONDS = 3.0
OBSERVED_SECONDS = 24.0
STEP = {"Count": 2, "Cpu": 1000, "MemMb": 500, "EstimateMs": 12000}


class LateStore(RowStore):
    """Store that applies the write of one job late, and does not answer it."""

    def __init__(self) -> None:
        super().__init__()
        self.late_job = ""
        self.write_count = 0

    async def handle(
        self, method: str, target: str, headers: dict[str, str], document: Any
    ) -> Response:
        """Answer a call, unless it is the write of the chosen job."""
        if target == "/-/rows-tx":
            self.write_count += 1
            keys = [(row["Table"], row["Key"]) for row in document["Upserts"]]
            if ("jobs", self.late_job) in keys:
                loop = asyncio.get_running_loop()
                call = super().handle(method, target, headers, document)
                loop.call_later(LATE_SECONDS, asyncio.ensure_future, call)
                self.late_job = ""
                await asyncio.sleep(NO_ANSWER_SECONDS)
        return await super().handle(method, target, headers, document)


class CancelledJobCase(BaseCase):
    """Plays the cancelling of a job whose acceptance got no answer."""

    def __init__(self, *arguments: Any):
        super().__init__(*arguments)
        self.late_store = LateStore()
        self.store = self.fleet.store = self.late_store

    async def add_workers(self) -> None:
        """Add the workers."""
        for _ in range(WORKERS_COUNT):
            machine = self.fleet.next_machine()
            await self.fleet.add(Worker(self.fleet, machine, self.pools[0]))

    async def play(self) -> int:
        """Return the exit code."""
        job = self.make_job(STEP["Count"], TASK_SECONDS)
        if HAS_TROUBLE:
            self.late_store.late_job = job
        sent_at, writes = self.seconds, self.late_store.write_count
        await self.submit(job, STEP, CLIENT_DEADLINE_MS)
        while True:
            status, _ = await self.call("DELETE", job)
            if status == 410 or 200 <= status < 300:
                break
            await asyncio.sleep(0.2)
        cancelled_at = self.seconds
        self.write(f"cancelling acknowledged, {self.late_store.write_count - writes}")
        return await self._observe(job, sent_at, cancelled_at)

    async def _observe(self, job: str, sent_at: float, cancelled_at: float) -> int:
        """Apply the rule to starts and runs after the acknowledgement."""
        late_starts: set[str] = set()
        late_runs: set[str] = set()
        starts_before = {task for task, _ in self.fleet.starts}
        calm_from = sent_at + LATE_SECONDS + CALM_SECONDS
        while self.seconds < cancelled_at + OBSERVED_SECONDS:
            await asyncio.sleep(0.05)
            after = self.seconds - cancelled_at
            started = {task for task, _ in self.fleet.starts} - starts_before
            starts_before |= started
            if after > CANCEL_SECONDS:
                late_starts |= started
            running = {task for w in self.fleet.workers for task, _ in w.life.running}
            if after > CANCEL_SECONDS + STOP_GRACE_SECONDS and (
                self.seconds > calm_from + CANCEL_SECONDS + STOP_GRACE_SECONDS
            ):
                late_runs |= running
        state = await self.read_state(job)
        self.write(f"state {state}, late starts {late_starts}, run on {late_runs}")
        if late_starts and late_runs:
            self.write("UNASKED: tasks of a cancelled job were started and run on")
            return BROKEN
        return HELD if not late_starts and not late_runs else NOT_RUN


if __name__ == "__main__":
    asyncio.run(main(CancelledJobCase, FOLDER))
