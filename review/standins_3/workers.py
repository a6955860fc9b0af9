"""Stand-in of a worker that runs tasks under leases."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from json import loads
from typing import Any

from standins_3.http import Request, Response, Server
from standins_3.stores import Store

HEARTBEAT_SECONDS = 1.5
HOLD_MAX_SECONDS = 6.0
STOP_SECONDS = 0.1
STARTUP_SECONDS = 0.2
LISTED_ENDS_LIMIT = 500
SILENT_SECONDS = 30.0

RunId = tuple[str, int]


@dataclass
class Run:
    """Run of a task on a worker.

    Attributes:
        task: Name of the task.
        number: Number of the run.
        worker: Id of the worker.
        spec: What the task does, see ``Worker``.
        started_at: Monotonic time in seconds.
        ended_at: Monotonic time in seconds; None while the run is active.
        how: How the run ended; ``crashed`` with its worker, or empty.
    """

    task: str
    number: int
    worker: str
    spec: dict[str, Any]
    started_at: float
    ended_at: float | None = None
    how: str = ""


@dataclass
class Life:
    """What a worker forgets when it starts again.

    Attributes:
        born: Start in Unix milliseconds.
        started_at: Start in monotonic seconds.
        token: Highest fencing token that was seen.
        lease_end: End of the lease in milliseconds of the worker's clock.
        running: Active runs.
        highest: Highest run that was stopped or has ended, by task.
        ends: Ends that have not been acknowledged.
        end_count: Number of all ends.
    """

    born: int
    started_at: float
    token: int = 0
    lease_end: float = 0.0
    running: dict[RunId, Run] = field(default_factory=dict)
    highest: dict[str, int] = field(default_factory=dict)
    ends: list[list[Any]] = field(default_factory=list)
    end_count: int = 0


class Worker:
    """Worker that speaks the tasks' interface and records all of its runs.

    The ``Spec`` of a job is a JSON object: ``ms`` is the time that a run takes, ``how``
    how it ends (``done`` unless given). Without ``ms`` a run lasts.

    Args:
        name: Id of the worker.
        pool: Service that the worker belongs to.
        rack: Label of the worker's rack.
        cpu: Capacity in thousandths of a core.
        store: Store in which the worker registers itself.
        record: Writes a line of the record.
        host: Loopback address to listen on.
        machine: Machine of which the worker is a life; one of its own if empty.
        zone: Zone of the worker.
        kind: Label of the worker's kind.
    """

    def __init__(
        self,
        name: str,
        pool: str,
        rack: str,
        cpu: int,
        store: Store,
        record: Callable[[str], None],
        host: str,
        machine: str = "",
        zone: str = "z1",
        kind: str = "a",
    ):
        self.name = name
        self.kind = kind
        self.zone = zone
        self.pool = pool
        self.cpu = cpu
        self.machine = machine or f"m-{name}"
        self.runs: list[Run] = []
        self.is_up = True
        self.rack = rack
        self._store = store
        self._record = record
        self._host = host
        self._server = Server(self._respond)
        self._address = ""
        self._sequence = 0
        self._ended = asyncio.Event()
        self._healed = asyncio.Event()
        self._healed.set()
        self._late_hold_delay: float | None = None
        self.order_count = 0
        self._beats: asyncio.Task[None] | None = None
        self._life = self._make_life()

    def _make_life(self) -> Life:
        return Life(int(time.time() * 1000), time.monotonic())

    async def open(self) -> None:
        """Listen, register and send heartbeats."""
        self._address = await self._server.open(self._host)
        self._beats = asyncio.create_task(self._send_heartbeats())

    def close(self) -> None:
        """Stop listening and sending heartbeats."""
        if self._beats is not None:
            self._beats.cancel()
        self._server.close()

    def end(self) -> None:
        """End the worker's life: its machine is moved or maintained."""
        self.crash()
        self.close()
        self._store.remove("servers", self.name)

    async def _send_heartbeats(self) -> None:
        while True:
            if self.is_up and self._healed.is_set():
                self.register()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def leave_next_hold_unanswered(self, delay: float) -> None:
        """Leave the next renewal unanswered and carry it out after a delay.

        The time that it grants then counts from its arrival.

        Args:
            delay: Time in seconds.
        """
        self._late_hold_delay = delay

    @property
    def is_hold_awaited(self) -> bool:
        """Whether the renewal that is left unanswered has not come yet."""
        return self._late_hold_delay is not None

    async def cut(self, seconds: float) -> None:
        """Cut the worker off from the instances and the store; it runs on.

        The platform removes its entry after three heartbeats of silence.

        Args:
            seconds: Duration of the cut.
        """
        self._record(f"{self.name} is cut off for {seconds} s")
        self._healed.clear()
        loop = asyncio.get_running_loop()
        loop.call_later(3 * HEARTBEAT_SECONDS, self._remove_silent_entry)
        await asyncio.sleep(seconds)
        self._record(f"{self.name} is reachable again")
        self._healed.set()

    def _remove_silent_entry(self) -> None:
        if not self._healed.is_set():
            self._store.remove("servers", self.name)
            self._record(f"the entry of {self.name} has expired")

    def register(self) -> None:
        """Write the worker's entry."""
        self._sequence += 1
        document = {
            "Backend": self.pool,
            "Address": self._address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdLeftMs": 0,
            "Capacity": {"Cpu": self.cpu, "MemMb": 65536},
            "Labels": [self.kind, self.rack],
            "Machine": self.machine,
            "ClockMs": self.clock,
            "Seq": self._sequence,
            "born": self._life.born,
        }
        self._store.put("servers", self.name, document)

    def show_machine(self) -> dict[str, Any]:
        """Return the worker's entry in the list of machines."""
        return {
            "Machine": self.machine,
            "Pool": self.pool,
            "State": "up" if self.is_up else "down",
            "Zone": self.zone,
            "Labels": [self.kind, self.rack],
            "Capacity": {"Cpu": self.cpu, "MemMb": 65536},
            "Id": self.name,
        }

    @property
    def clock(self) -> int:
        """Reading of the worker's steady clock in milliseconds."""
        return int(1000 * (time.monotonic() - self._life.started_at))

    @property
    def running(self) -> list[Run]:
        """Active runs."""
        return list(self._life.running.values())

    def crash(self) -> None:
        """End all runs and all connections; the worker is down until ``restart``."""
        self.is_up = False
        for run in self.running:
            run.ended_at, run.how = time.monotonic(), "crashed"
        self._record(f"{self.name} crashes with {len(self.running)} runs")
        self._life.running.clear()
        self._server.close()

    async def restart(self) -> None:
        """Start again under the same id and address, knowing nothing of before."""
        self._life = self._make_life()
        self._sequence = 0
        self._server = Server(self._respond)
        port = int(self._address.rsplit(":", 1)[1])
        await self._server.open(self._host, port)
        self.is_up = True
        self._record(f"{self.name} is up again")
        self.register()

    async def _respond(self, request: Request) -> Response | None:
        if not self._healed.is_set():
            return await self._lose()
        self.order_count += 1
        if request.path == "/-/hold" and self._late_hold_delay is not None:
            return await self._leave_unanswered(request.json())
        response = await self._execute(request)
        return response if self._healed.is_set() else await self._lose()

    async def _lose(self) -> None:
        """Lose a message that meets a cut; its connection stays silent."""
        await asyncio.sleep(SILENT_SECONDS)

    async def _leave_unanswered(self, body: dict[str, Any]) -> None:
        delay, self._late_hold_delay = self._late_hold_delay or 0.0, None
        length = body["DeadlineMs"] - self.clock if "DeadlineMs" in body else None
        self._record(f"{self.name} leaves a renewal unanswered for {delay} s")
        loop = asyncio.get_running_loop()
        loop.call_later(delay, self._carry_out_late, self._life, body, length)
        await self._lose()

    def _carry_out_late(
        self, life: Life, body: dict[str, Any], length: float | None
    ) -> None:
        if life is not self._life or body["FencingToken"] < life.token:
            self._record(f"{self.name} refuses the late renewal")
            return
        life.token = body["FencingToken"]
        if length is not None:
            self._extend_lease(self.clock + length)
        self._record(f"{self.name} carries out the late renewal")

    async def _execute(self, request: Request) -> Response:
        if request.headers.get("x-target-instance", self.name) != self.name:
            return Response(421, {})
        body = request.json()
        token = body.get("FencingToken", 0)
        if token < self._life.token:
            return self._refuse("fence")
        self._life.token = token
        if request.path == "/-/run-start":
            return self._start(body)
        if request.path == "/-/run-stop":
            return self._stop(body)
        if request.path == "/-/hold":
            return await self._hold(body)
        if request.path == "/-/pace":
            return self._make_response()
        return Response(400, {})

    def _make_response(self, status: int = 200, **fields: Any) -> Response:
        return Response(status, {"ClockMs": self.clock} | fields)

    def _refuse(self, reason: str) -> Response:
        return self._make_response(409, Reason=reason)

    def _extend_lease(self, deadline: float) -> None:
        life = self._life
        longest = self.clock + 1000 * HOLD_MAX_SECONDS
        life.lease_end = max(life.lease_end, min(deadline, longest))
        loop = asyncio.get_running_loop()
        left = max(0.0, (life.lease_end - self.clock) / 1000)
        loop.call_later(left + 0.002, self._check_lease, life)

    def _check_lease(self, life: Life) -> None:
        if life is self._life and self.clock >= life.lease_end:
            for run in self.running:
                self._end(life, run, "lapsed")

    def _start(self, body: dict[str, Any]) -> Response:
        life, task, number = self._life, body["Task"], body["Run"]
        if (task, number) in life.running:
            return self._make_response()
        if number <= life.highest.get(task, 0):
            self._extend_lease(body["DeadlineMs"])
            return self._refuse("old")
        if body["DeadlineMs"] <= self.clock:
            return self._refuse("late")
        self._extend_lease(body["DeadlineMs"])
        spec = loads(body["Spec"])
        run = Run(task, number, self.name, spec, time.monotonic())
        life.running[task, number] = run
        self.runs.append(run)
        self._record(f"{self.name} starts {task} run {number}")
        self._begin(life, run)
        return self._make_response()

    def _begin(self, life: Life, run: Run) -> None:
        """Let a run end by itself after its work."""
        if "ms" in run.spec:
            how = run.spec.get("how", "done")
            loop = asyncio.get_running_loop()
            loop.call_later(run.spec["ms"] / 1000, self._end, life, run, how)

    def _end(self, life: Life, run: Run, how: str) -> None:
        if life is not self._life or (run.task, run.number) not in life.running:
            return
        del life.running[run.task, run.number]
        life.highest[run.task] = max(life.highest.get(run.task, 0), run.number)
        life.end_count += 1
        life.ends.append([life.end_count, run.task, run.number, how, ""])
        run.ended_at, run.how = time.monotonic(), how
        self._record(f"{self.name} ends {run.task} run {run.number} {how}")
        self._ended.set()
        self._ended = asyncio.Event()

    def _stop(self, body: dict[str, Any]) -> Response:
        life, task, number = self._life, body["Task"], body["Run"]
        life.highest[task] = max(life.highest.get(task, 0), number)
        run = life.running.get((task, number))
        if run is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_SECONDS, self._end, life, run, "stopped")
        return self._make_response()

    async def _hold(self, body: dict[str, Any]) -> Response:
        life, seen = self._life, body.get("LastSeen", 0)
        life.ends = [end for end in life.ends if end[0] > seen]
        if "DeadlineMs" in body:
            self._extend_lease(body["DeadlineMs"])
        wait = min(body.get("WaitMs", 0), 2000) / 1000
        if wait and not life.ends:
            try:
                await asyncio.wait_for(self._ended.wait(), wait)
            except TimeoutError:
                pass
        life = self._life
        return self._make_response(
            born=life.born,
            Running=[self._show(run) for run in life.running.values()],
            Finished=life.ends[:LISTED_ENDS_LIMIT],
        )

    def _show(self, run: Run) -> list[Any]:
        seconds = time.monotonic() - run.started_at
        if "ms" in run.spec:
            percent = min(99, int(100_000 * seconds / run.spec["ms"]))
        else:
            percent = 100 if seconds >= STARTUP_SECONDS else 0
        return [run.task, run.number, "", percent, 0]
