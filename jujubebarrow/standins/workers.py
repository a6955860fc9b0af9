"""Stand-in for an upstream worker, with slots, task leases, draining and faults."""

import argparse
import json
import time
from asyncio import Event, get_running_loop, run, sleep
from dataclasses import asdict, dataclass
from typing import Any

from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from jujubebarrow.identifiers import PoolId
from jujubebarrow.standins.emulated_workers import EmulatedWorker, TaskBehaviour
from jujubebarrow.standins.task_handlers import make_task_routes
from jujubebarrow.workloads.identifiers import WorkerId
from jujubebarrow.workloads.resources import Resources

CAPACITY = Resources(cpu=32_000, memory=65_536)
"""Resources for the tasks of jobs. The placement enforces them; the worker does not."""
LONGEST_LEASE_SECONDS = 6.0
"""Longest lease that the worker accepts for the tasks of jobs."""
LEASE_CHECK_PERIOD_SECONDS = 0.05


@dataclass
class TaskRecord:
    """Record of a task, as served under ``/record``.

    Attributes:
        task: Id of the task.
        team: Team of the request; empty for the task of a job.
        queue: Queue of the request; empty for the task of a job.
        key: Idempotency key of the request, or payload of the job.
        started: Start time in Unix seconds.
        lease: End of the task's lease in Unix seconds; 0 for the task of a job.
        ended: End time in Unix seconds; 0 while the task runs.
        outcome: Outcome of the task; empty while the task runs or after a crash.
    """

    task: str
    team: str
    queue: str
    key: str
    started: float
    lease: float
    ended: float = 0.0
    outcome: str = ""


class WorkerStandInState:
    """State and active faults of the worker stand-in.

    Args:
        name: Name of the worker.
        slots: Maximum number of concurrent tasks of requests.
        run_time: Run time in seconds of tasks that specify none.

    Attributes:
        slots: Maximum number of concurrent tasks of requests.
        run_time: Run time in seconds of tasks that specify none.
        is_draining: Whether the worker rejects new tasks of requests.
        running: Active tasks of requests by task id.
        task_records: All tasks of requests in the order of their starts.
        faults: Active faults of tasks of requests: "fail", "close" and "truncate" if
            true, and "slow" (factor of the run time).
        boot_count: Number of boots of the worker.
        stopped_while_draining_count: Number of tasks whose lease expired while the
            worker was draining.
        worker: Emulated worker that runs the tasks of jobs.
    """

    def __init__(self, name: str, slots: int, run_time: float):
        self.slots = slots
        self.run_time = run_time
        self.is_draining = False
        self.running: dict[str, TaskRecord] = {}
        self.task_records: list[TaskRecord] = []
        self.faults: dict[str, Any] = {}
        self.boot_count = 1
        self.stopped_while_draining_count = 0
        default_behaviour = TaskBehaviour(seconds=run_time)
        self.worker = EmulatedWorker(
            WorkerId(name),
            PoolId(""),
            CAPACITY,
            LONGEST_LEASE_SECONDS,
            {},
            started_at_ms=round(time.time() * 1000),
            default_behaviour=default_behaviour,
        )

    @property
    def is_idle(self) -> bool:
        """Whether the worker runs no task."""
        return not self.running and not self.worker.running

    def list_runs(self) -> list[dict[str, Any]]:
        """Return the tasks of jobs as a list of ``TaskRecord`` documents."""
        offset = time.time() - get_running_loop().time()
        return [
            asdict(
                TaskRecord(
                    task=str(run.task),
                    team="",
                    queue="",
                    key=run.payload,
                    started=run.started_at + offset,
                    lease=0.0,
                    ended=(run.ended_at + offset) if run.ended_at is not None else 0.0,
                    outcome=run.outcome.value if run.outcome is not None else "",
                )
            )
            for run in self.worker.run_history
        ]

    def find_refusal_reason(self, lease_end: float) -> str:
        """Return the reason to reject a task; empty if the task may start."""
        if self.is_draining:
            return "draining"
        if len(self.running) >= self.slots:
            return "full"
        if time.time() >= lease_end:
            return "lease-lapsed"
        return ""


class _RunHandler(RequestHandler):
    def initialize(self, state: WorkerStandInState) -> None:
        self.state = state

    async def post(self, queue: str) -> None:
        headers = self.request.headers
        lease_end = float(headers.get("Task-Lease", "inf"))
        reason = self.state.find_refusal_reason(lease_end)
        if reason:
            self.set_status(503)
            self.set_header("Task-Started", "no")
            self.set_header("Task-Refusal", reason)
            return
        task = TaskRecord(
            task=headers.get("Task-Id", ""),
            team=headers.get("Task-Team", ""),
            queue=queue,
            key=headers.get("Task-Key", ""),
            started=time.time(),
            lease=lease_end,
        )
        self.state.task_records.append(task)
        self.state.running[task.task] = task
        try:
            await self._execute_task(task)
        finally:
            task.ended = time.time()
            self.state.running.pop(task.task, None)
            if self.state.is_draining:
                self.state.stopped_while_draining_count += task.outcome == "stopped"

    async def _execute_task(self, task: TaskRecord) -> None:
        faults = self.state.faults
        if faults.get("fail"):
            task.outcome = "failed"
            self.set_status(500)
            self.finish(b"failed")
            return
        if not await self._wait_for_end(task, self._read_run_time()):
            task.outcome = "stopped"
            self.set_status(500)
            return
        if faults.get("close"):
            task.outcome = "closed"
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        if faults.get("truncate"):
            task.outcome = "truncated"
            await self._truncate()
            return
        task.outcome = "done"
        self.finish(json.dumps({"task": task.task, "echo": self._echo_body()}))

    async def _wait_for_end(self, task: TaskRecord, seconds: float) -> bool:
        """Wait until a task ends; return False if the task's lease expires earlier."""
        end = time.time() + seconds * self.state.faults.get("slow", 1)
        while time.time() < end:
            if time.time() >= task.lease:
                return False
            await sleep(min(LEASE_CHECK_PERIOD_SECONDS, max(0, end - time.time())))
        return True

    def _read_run_time(self) -> float:
        return float(self.request.headers.get("Task-Seconds", self.state.run_time))

    def _echo_body(self) -> str:
        return self.request.body.decode("latin-1")

    async def _truncate(self) -> None:
        self.set_header("Content-Length", "1000")
        self.write(b"half")
        try:
            await self.flush()
        except StreamClosedError:
            return
        self.request.connection.stream.close()  # type: ignore[union-attr]


class _StateHandler(RequestHandler):
    def initialize(self, state: WorkerStandInState) -> None:
        self.state = state

    def get(self) -> None:
        state = self.state
        self.finish(
            {
                "slots": state.slots,
                "running": len(state.running) + len(state.worker.running),
                "draining": state.is_draining,
                "boots": state.boot_count,
            }
        )


class _RecordHandler(_StateHandler):
    def get(self) -> None:
        tasks = [
            asdict(task) for task in self.state.task_records
        ] + self.state.list_runs()
        self.finish(
            {
                "tasks": tasks,
                "cut": self.state.stopped_while_draining_count,
                "boots": self.state.boot_count,
            }
        )


class _DrainHandler(_StateHandler):
    def post(self) -> None:
        self.state.is_draining = True

    def delete(self) -> None:
        self.state.is_draining = False


class _RebootHandler(_StateHandler):
    def post(self) -> None:
        if not self.state.is_idle:
            self.send_error(409)
            return
        self.state.boot_count += 1
        self.state.worker.restart()
        self.state.is_draining = False


class _FaultsHandler(_StateHandler):
    def post(self) -> None:
        self.state.faults = json.loads(self.request.body)


def make_application(state: WorkerStandInState) -> Application:
    """Return the web application of a worker stand-in."""
    arguments = {"state": state}
    return Application(
        [
            (r"/run/([^/]+)", _RunHandler, arguments),
            (r"/state", _StateHandler, arguments),
            (r"/record", _RecordHandler, arguments),
            (r"/drain", _DrainHandler, arguments),
            (r"/reboot", _RebootHandler, arguments),
            (r"/faults", _FaultsHandler, arguments),
            *make_task_routes(state.worker),
        ],
        log_function=lambda handler: None,
    )


async def serve(address: str, ports: list[int], slots: int, run_time: float) -> None:
    """Serve one worker on each port until the process ends."""
    for port in ports:
        make_application(WorkerStandInState(str(port), slots, run_time)).listen(
            port, address
        )
    await Event().wait()


def main() -> None:
    """Run one or more workers in one process."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--ports", type=int, nargs="+", required=True)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--run-time", type=float, default=0.02)
    options = parser.parse_args()
    run(serve(options.address, options.ports, options.slots, options.run_time))


if __name__ == "__main__":
    main()
