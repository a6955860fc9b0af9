"""Stand-in for a worker of the platform."""

import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import Any

from harness.http import Request, Response, Server
from harness.records import Record
from harness.stores import StoreStandIn

HEARTBEAT_SECONDS = 1.5
"""Interval of a worker's registrations: ``HeartbeatMs`` of the settings."""
LONGEST_LEASE_SECONDS = 6.0
"""``Bounds.HoldMaxMs`` of the settings."""
STOP_SECONDS = 0.2
"""Time that a stop takes, below ``Bounds.StopGraceMs`` of the settings."""
LIST_LIMIT = 500
"""Most finished runs of one response, by the platform's page."""
CAPACITY = {"Cpu": 32000, "MemMb": 65536, "Gpus": 0}
STARTUP_SECONDS = 0.3
"""Time until a task that lasts is at work."""
POLL_SECONDS = 0.02

RunId = tuple[str, int]


@dataclass(slots=True)
class _Run:
    task: str
    run: int
    started_at: float
    seconds: float | None
    ending: asyncio.TimerHandle | None = None


@dataclass(slots=True)
class _Life:
    """What a worker forgets when it crashes."""

    born: int
    started_at: float
    token: int = 0
    lease_end: float = 0.0
    running: dict[RunId, _Run] = field(default_factory=dict)
    highest: dict[str, int] = field(default_factory=dict)
    finished: list[list[Any]] = field(default_factory=list)
    count: int = 0
    ended: asyncio.Event = field(default_factory=asyncio.Event)


class WorkerStandIn:
    """Worker that runs tasks as their job's ``Spec`` says.

    ``Spec`` is a JSON list with the duration of a task of each step in milliseconds;
    null stands for a task that lasts until it is stopped.

    Args:
        name: Id of the worker.
        backend: Name of the worker's service.
        store: Store in which the worker registers.
        record: Record of all runs.

    Attributes:
        name: Id of the worker.
        backend: Name of the worker's service.
        is_up: Whether the worker is alive.
    """

    def __init__(
        self,
        name: str,
        backend: str,
        store: StoreStandIn,
        record: Record,
    ):
        self.name = name
        self.backend = backend
        self._store = store
        self._record = record
        self._server = Server(self._handle)
        self._life = _Life(0, 0.0)
        self._sequence = 0
        self._tasks: list[asyncio.Task[None]] = []
        self.is_up = False

    async def open(self, port: int = 0) -> None:
        """Start a life of the worker."""
        await self._server.open(port or self._server.port)
        self._life = _Life(int(time.time() * 1000), time.monotonic())
        self._sequence = 0
        self.is_up = True
        self._tasks = [
            asyncio.create_task(self._register()),
            asyncio.create_task(self._check_lease()),
        ]

    def crash(self) -> None:
        """End the life of the worker, with all that runs, without a word."""
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        self._server.close()
        for run in list(self._life.running.values()):
            if run.ending is not None:
                run.ending.cancel()
            self._record.end(self.name, run.task, run.run, "crashed")
        self._life.running.clear()

    def lose(self) -> None:
        """Lose the worker for good: it runs nothing, and all connections are silent."""
        self._server.go_silent()
        for task in self._tasks:
            task.cancel()
        for run in list(self._life.running.values()):
            self._finish(self._life, run, "crashed")
        self.is_up = False

    @property
    def running(self) -> list[RunId]:
        """Runs at work."""
        return list(self._life.running)

    async def _register(self) -> None:
        while True:
            self._sequence += 1
            self._store.put(
                "servers",
                self.name,
                {
                    "Backend": self.backend,
                    "Address": self._server.address,
                    "Zone": "zone-a",
                    "Version": "v1",
                    "Slots": 8,
                    "State": "ready",
                    "ColdLeftMs": 0,
                    "Capacity": CAPACITY,
                    "Labels": ["a", "r1"],
                    "Machine": f"m-{self.name}",
                    "ClockMs": self._clock_ms,
                    "Seq": self._sequence,
                    "born": self._life.born,
                },
            )
            await asyncio.sleep(HEARTBEAT_SECONDS)

    @property
    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._life.started_at) * 1000)

    async def _check_lease(self) -> None:
        while True:
            await asyncio.sleep(POLL_SECONDS)
            life = self._life
            if not life.lease_end or self._clock_ms <= life.lease_end:
                continue
            life.lease_end = 0.0
            self._record.lapse(self.name)
            for run in list(life.running.values()):
                self._finish(life, run, "lapsed")

    async def _handle(self, request: Request) -> Response | None:
        life = self._life
        if request.path == "/healthz":
            return Response(200, None, {"X-Instance-Id": self.name})
        if request.headers.get("x-target-instance", self.name) != self.name:
            return Response(421)
        try:
            document = request.to_document()
        except ValueError:
            return Response(400)
        if document.get("FencingToken", 0) < life.token:
            return self._answer(409, Reason="fence")
        life.token = document.get("FencingToken", 0)
        if request.path == "/-/run-start":
            return self._start(life, document)
        if request.path == "/-/run-stop":
            return self._stop(life, document)
        if request.path == "/-/hold":
            return await self._hold(life, document)
        if request.path == "/-/pace":
            return self._answer(200)
        return Response(404)

    def _answer(self, status: int, **fields: Any) -> Response:
        document = {"ClockMs": self._clock_ms, "born": self._life.born}
        return Response(status, document | fields)

    def _renew(self, life: _Life, document: dict[str, Any]) -> None:
        latest = self._clock_ms + LONGEST_LEASE_SECONDS * 1000
        deadline = min(document.get("DeadlineMs") or 0, latest)
        life.lease_end = max(life.lease_end, deadline)

    def _start(self, life: _Life, document: dict[str, Any]) -> Response:
        task, number = document["Task"], document["Run"]
        if (task, number) in life.running:
            return self._answer(200)
        if number <= life.highest.get(task, 0):
            self._renew(life, document)
            return self._answer(409, Reason="old")
        if document["DeadlineMs"] <= self._clock_ms:
            return self._answer(409, Reason="late")
        self._renew(life, document)
        step = int(task.split(".")[2])
        duration = json.loads(document["Spec"])[step]
        seconds = None if duration is None else duration / 1000
        run = _Run(task, number, time.monotonic(), seconds)
        life.running[task, number] = run
        self._record.start(self.name, task, number)
        if seconds is not None:
            loop = asyncio.get_running_loop()
            run.ending = loop.call_later(seconds, self._finish, life, run, "done")
        return self._answer(200)

    def _stop(self, life: _Life, document: dict[str, Any]) -> Response:
        task, number = document["Task"], document["Run"]
        life.highest[task] = max(life.highest.get(task, 0), number)
        run = life.running.get((task, number))
        if run is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_SECONDS, self._finish, life, run, "stopped")
        return self._answer(200)

    def _finish(self, life: _Life, run: _Run, how: str) -> None:
        if life is not self._life or not self.is_up:
            return
        if life.running.pop((run.task, run.run), None) is None:
            return
        if run.ending is not None:
            run.ending.cancel()
        life.highest[run.task] = max(life.highest.get(run.task, 0), run.run)
        life.count += 1
        life.finished.append([life.count, run.task, run.run, how, ""])
        self._record.end(self.name, run.task, run.run, how)
        life.ended.set()

    async def _hold(self, life: _Life, document: dict[str, Any]) -> Response:
        self._renew(life, document)
        seen = document.get("LastSeen", 0)
        for row in life.finished:
            if row[0] <= seen:
                self._record.note(self.name, row[1], row[2], row[3])
        life.finished = [row for row in life.finished if row[0] > seen]
        if document.get("WaitMs") and not life.finished:
            life.ended.clear()
            try:
                await asyncio.wait_for(life.ended.wait(), document["WaitMs"] / 1000)
            except TimeoutError:
                pass
        running = [
            [run.task, run.run, "", self._measure(run), 0]
            for run in life.running.values()
        ]
        return self._answer(200, Running=running, Finished=life.finished[:LIST_LIMIT])

    def _measure(self, run: _Run) -> int:
        """Return the progress of a run in percent."""
        elapsed = time.monotonic() - run.started_at
        if run.seconds is None:
            return 100 if elapsed >= STARTUP_SECONDS else 0
        return min(99, int(100 * elapsed / max(run.seconds, 0.001)))
