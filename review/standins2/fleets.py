"""Stand-ins for workers and the machine service; they have no faults."""

import asyncio
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from stores import RowStore
from wire import Response, serve

CAPACITY = {"Cpu": 32000, "MemMb": 65536, "Gpus": 0}
LONGEST_LEASE_SECONDS = 6.0
STOP_SECONDS = 0.1
MOVE_SECONDS = 1.5
HEARTBEAT_SECONDS = 1.5
GANG_TIMEOUT_SECONDS = 3.0
CHECK_SECONDS = 0.02
RunKey = tuple[str, int]


@dataclass
class Job:
    """Job as a client has sent it: one step of finite tasks."""

    name: str
    count: int
    seconds: float
    is_gang: bool


@dataclass
class Life:
    """State of a worker between two starts."""

    born_ms: int = field(default_factory=lambda: round(time.time() * 1000))
    began: float = field(default_factory=time.monotonic)
    token: int = 0
    # Time at which each run has started.
    running: dict[RunKey, float] = field(default_factory=dict)
    ends: list[list[Any]] = field(default_factory=list)
    end_count: int = 0
    over: dict[str, int] = field(default_factory=dict)
    lease_end: float = 0.0
    lease_lapsed_at: float = 0.0
    end_times: dict[int, float] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def clock_ms(self) -> int:
        """The worker's steady clock."""
        return int((time.monotonic() - self.began) * 1000)


class Fleet:
    """Workers, their machines and the service that moves these between pools.

    Args:
        store: Store in which the workers register.
        jobs: Jobs that clients have sent, by id.
        write: Writes a line to the record.
    """

    def __init__(
        self, store: RowStore, jobs: dict[str, Job], write: Callable[[str], None]
    ):
        self.store = store
        self.jobs = jobs
        self.write = write
        self.workers: list[Worker] = []
        # Task and time of the end of each run that has ended `done`, once LastSeen has
        # reached that end while the worker's lease was valid.
        self.noted: list[tuple[str, float]] = []
        # Task and time of each start.
        self.starts: list[tuple[str, float]] = []
        # Times of all orders to all workers.
        self.orders: list[float] = []
        self.gangs: dict[tuple[str, int], set[str]] = defaultdict(set)
        self._life_count = 0

    async def add(self, worker: "Worker") -> None:
        """Add a machine with its worker."""
        worker.address = await serve(worker.handle)
        self.workers.append(worker)
        worker.boot()

    def next_id(self) -> str:
        """Return the id of a worker's next life."""
        self._life_count += 1
        return f"i-{self._life_count:08x}"

    def next_machine(self) -> str:
        """Return the name of the next machine."""
        return f"m-{len(self.workers):02d}"

    def list_up(self, pool: str) -> list["Worker"]:
        """Return the workers of a pool that are up."""
        return [w for w in self.workers if w.pool == pool and w.state == "up"]

    def finish_gang(self, job: Job, run: int) -> None:
        """End all tasks of a gang's run together."""
        for worker in self.workers:
            for task, number in list(worker.life.running):
                if number == run and task.startswith(job.name):
                    worker.finish(task, run, "done")

    def find_repeated(self, represents: Callable[[str, str], bool]) -> list[str]:
        """Return the tasks that were started after an end `done` was taken note of.

        Args:
            represents: Returns whether the end of the first task is one of the second.
        """
        return [
            task
            for task, started in self.starts
            for ended_task, ended in self.noted
            if represents(ended_task, task) and started > ended
        ]

    async def expire(self) -> None:
        """End runs whose lease is over until cancelled."""
        while True:
            for worker in self.workers:
                worker.check_lease()
            await asyncio.sleep(CHECK_SECONDS)

    async def beat(self) -> None:
        """Renew the registrations until cancelled."""
        while True:
            for worker in self.workers:
                if worker.state == "up":
                    worker.register()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def handle_machines(
        self, method: str, target: str, headers: dict[str, str], document: Any
    ) -> Response:
        """Answer a call to the machine service."""
        if target.startswith("/-/machines"):
            return 200, {
                "Machines": [worker.describe() for worker in self.workers],
                "NextToken": None,
            }
        found = [w for w in self.workers if w.machine == document["Machine"]]
        if not found or target != "/-/machine-move":
            return 400, {}
        worker, token = found[0], int(headers["x-fencing-token"])
        if token < worker.machine_token:
            return 409, {"Reason": "fence"}
        worker.machine_token = token
        if worker.pool == document["Pool"]:
            return 200, {}
        if worker.state != "up":
            return 409, {"Reason": "busy"}
        worker.move(document["Pool"])
        return 200, {}


class Worker:
    """Worker of one machine.

    Args:
        fleet: Fleet that the worker belongs to.
        machine: Name of the machine.
        pool: Pool that the machine is in.
    """

    def __init__(self, fleet: Fleet, machine: str, pool: str):
        self.fleet = fleet
        self.machine = machine
        self.pool = pool
        self.address = ""
        self.state = "down"
        self.name = ""
        self.machine_token = 0
        self.labels = ["a", "r1-0"]
        self.life = Life()

    def boot(self, name: str = "") -> None:
        """Begin a new life under a new id, or under the given one."""
        self.name = name or self.fleet.next_id()
        self.life = Life()
        self.state = "up"
        self.register()

    def register(self) -> None:
        """Write the registration."""
        document = {
            "Backend": self.pool,
            "Address": self.address,
            "Zone": "z1",
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdLeftMs": 0,
            "Capacity": CAPACITY,
            "Labels": self.labels,
            "ClockMs": self.life.clock_ms,
            "Machine": self.machine,
            "born": self.life.born_ms,
        }
        self.fleet.store.put("servers", self.name, document)

    def describe(self) -> dict[str, Any]:
        """Return the machine's row in the list of machines."""
        return {
            "Machine": self.machine,
            "Pool": self.pool,
            "State": self.state,
            "Zone": "z1",
            "Labels": self.labels,
            "Capacity": CAPACITY,
            "Id": self.name if self.state == "up" else "",
        }

    def move(self, pool: str) -> None:
        """End all runs; begin a new life in another pool after the move."""
        runs = len(self.life.running)
        self.fleet.write(f"machine {self.machine} {self.pool} to {pool}, {runs} runs")
        self.state, self.pool = "moving", pool
        self.fleet.store.drop("servers", self.name)
        self.life = Life()
        asyncio.get_running_loop().call_later(MOVE_SECONDS, self.boot)

    async def handle(
        self, method: str, target: str, headers: dict[str, str], document: Any
    ) -> Response:
        """Answer a call."""
        if target == "/healthz":
            return 200, {}
        self.fleet.orders.append(time.monotonic())
        life = self.life
        if self.state != "up" or headers.get("x-target-instance", "") != self.name:
            return 421, {"ClockMs": life.clock_ms}
        if document["FencingToken"] < life.token:
            return 409, {"ClockMs": life.clock_ms, "Reason": "fence"}
        life.token = document["FencingToken"]
        if target == "/-/hold":
            return await self._hold(life, document)
        if target == "/-/run-start":
            reason = self._start(document)
            if reason:
                return 409, {"ClockMs": life.clock_ms, "Reason": reason}
        if target == "/-/run-stop":
            task, run = document["Task"], document["Run"]
            life.over[task] = max(life.over.get(task, 0), run)
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_SECONDS, self.finish, task, run, "stopped")
        return 200, {"ClockMs": life.clock_ms}

    def _extend(self, document: dict[str, Any]) -> None:
        if "DeadlineMs" in document:
            end = self.life.began + document["DeadlineMs"] / 1000
            end = min(end, time.monotonic() + LONGEST_LEASE_SECONDS)
            self.life.lease_end = max(self.life.lease_end, end)

    async def _hold(self, life: Life, document: dict[str, Any]) -> Response:
        position = document.get("LastSeen", 0)
        for end in life.ends:
            if end[0] <= position:
                self._note(end)
        life.ends = [end for end in life.ends if end[0] > position]
        self._extend(document)
        wait = document.get("WaitMs", 0) / 1000
        if not life.ends and wait:
            life.changed.clear()
            try:
                await asyncio.wait_for(life.changed.wait(), wait)
            except TimeoutError:
                pass
        running = [
            [task, run, "", self._measure_percent(task, began), 100]
            for (task, run), began in life.running.items()
        ]
        return 200, {
            "ClockMs": life.clock_ms,
            "born": life.born_ms,
            "Running": running,
            "Finished": life.ends[:500],
        }

    def _note(self, end: list[Any]) -> None:
        ended = self.life.end_times[end[0]]
        has_lapsed = self.life.lease_lapsed_at > ended
        has_lapsed = has_lapsed or time.monotonic() > self.life.lease_end
        self.fleet.write(f"noted by {self.name}: {end}, lease lapsed: {has_lapsed}")
        if end[3] == "done" and not has_lapsed:
            self.fleet.noted.append((end[1], ended))

    def check_lease(self) -> None:
        """End all runs if the lease is over."""
        life, now = self.life, time.monotonic()
        if life.lease_end and now > life.lease_end:
            life.lease_lapsed_at = now
            for task, run in list(life.running):
                self.finish(task, run, "lapsed")

    def _measure_percent(self, task: str, began: float) -> int:
        job = self.fleet.jobs[task.split(".")[0]]
        return min(99, int(100 * (time.monotonic() - began) / job.seconds))

    def _start(self, document: dict[str, Any]) -> str:
        task, run, life = document["Task"], document["Run"], self.life
        if (task, run) in life.running:
            return ""
        if run <= life.over.get(task, 0):
            self._extend(document)
            return "old"
        if document["DeadlineMs"] <= life.clock_ms:
            return "late"
        self._extend(document)
        life.running[task, run] = time.monotonic()
        self.fleet.starts.append((task, time.monotonic()))
        self.fleet.write(f"start {task} run {run} on {self.name} of {self.pool}")
        self._work(self.fleet.jobs[task.split(".")[0]], task, run)
        return ""

    def _work(self, job: Job, task: str, run: int) -> None:
        loop = asyncio.get_running_loop()
        if not job.is_gang:
            loop.call_later(job.seconds, self.finish, task, run, "done")
            return
        present = self.fleet.gangs[job.name, run]
        present.add(task)
        loop.call_later(GANG_TIMEOUT_SECONDS, self._give_up_gang, job, task, run)
        if len(present) == job.count:
            loop.call_later(job.seconds, self.fleet.finish_gang, job, run)

    def _give_up_gang(self, job: Job, task: str, run: int) -> None:
        if len(self.fleet.gangs[job.name, run]) < job.count:
            self.finish(task, run, "alone")

    def finish(self, task: str, run: int, how: str) -> None:
        """End a run, unless it has ended or its life is over."""
        life = self.life
        if life.running.pop((task, run), None) is None:
            return
        self.fleet.gangs[task.split(".")[0], run].discard(task)
        life.end_count += 1
        life.end_times[life.end_count] = time.monotonic()
        life.over[task] = max(life.over.get(task, 0), run)
        life.ends.append([life.end_count, task, run, how, ""])
        life.changed.set()
        self.fleet.write(f"end {task} run {run} on {self.name}: {how}")
