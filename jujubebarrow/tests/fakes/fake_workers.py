"""In-memory upstream workers that record all started runs."""

from asyncio import Future, create_task, get_running_loop, shield, sleep, wait_for
from collections.abc import Callable
from contextvars import Context
from dataclasses import dataclass, field

from jujubebarrow.errors.exceptions import DispatchError
from jujubebarrow.peers.identities import PeerIdentity
from jujubebarrow.tests.fakes.fake_networks import FakeNetwork
from jujubebarrow.upstreams.upstream_clients import (
    TaskRequest,
    TaskResponse,
    UpstreamClient,
    UpstreamReport,
)

PROBE_TIMEOUT_SECONDS = 1.0
POLL_PERIOD_SECONDS = 0.05


@dataclass
class Run:
    task: TaskRequest
    worker: str
    started_at: float
    lease_end: float
    is_completed: bool = False


@dataclass
class FakeWorker:
    name: str
    zone: str
    network: FakeNetwork
    on_start: Callable[[Run], None]
    on_violation: Callable[[str], None]
    slots: int = 4
    run_time: float = 0.1
    is_draining: bool = False
    is_down: bool = False
    fault: str = ""
    running: dict[str, Run] = field(default_factory=dict)
    started_runs: list[Run] = field(default_factory=list)

    def now(self) -> float:
        return get_running_loop().time()

    def find_refusal_reason(self, lease_end: float) -> str:
        if self.is_draining:
            return "draining"
        if len(self.running) >= self.slots:
            return "full"
        return "lease-lapsed" if self.now() >= lease_end else ""

    async def start_task(self, task: TaskRequest) -> "Future[TaskResponse]":
        """Start a task and return a future of the response, or refuse the task."""
        while self.fault == "freeze":
            await sleep(POLL_PERIOD_SECONDS)
        reason = self.find_refusal_reason(task.lease_end)
        if reason:
            raise DispatchError(reason, may_have_started=False, refusal=reason)
        run = Run(task, self.name, self.now(), task.lease_end)
        self.started_runs.append(run)
        self.running[task.task] = run
        self.on_start(run)
        if self.fault == "crash":
            self.is_down = True
            del self.running[task.task]
            raise DispatchError("connection reset", may_have_started=True)
        return create_task(self._execute(run), context=Context())  # type: ignore[return-value]

    async def _execute(self, run: Run) -> TaskResponse:
        end = self.now() + self.run_time * self.network.random.uniform(0.5, 2.0)
        fault = self.fault
        try:
            while self.now() < end:
                if self.now() >= run.lease_end:
                    return TaskResponse(500, "text/plain", b"stopped")
                await sleep(min(POLL_PERIOD_SECONDS, end - self.now()))
            if fault == "fail":
                return TaskResponse(500, "text/plain", b"failed")
            run.is_completed = True
            if fault == "truncate":
                raise DispatchError("truncated", may_have_started=True)
            return TaskResponse(200, "text/plain", run.task.body)
        finally:
            del self.running[run.task.task]

    def reboot(self) -> None:
        if self.running:
            self.on_violation(f"{self.name} rebooted while it ran work")
        self.is_draining = False


class FakeUpstreamClient(UpstreamClient):
    """Upstream client of one simulated process."""

    def __init__(
        self,
        workers: dict[str, FakeWorker],
        identity: PeerIdentity,
        network: FakeNetwork,
    ):
        self._workers = workers
        self._identity = identity
        self._network = network

    async def _connect(self, address: str) -> FakeWorker:
        await self._wait_until_running()
        await self._network.wait_for_latency()
        await self._wait_until_running()
        worker = self._workers[address]
        pair = frozenset({worker.zone, self._identity.zone})
        if worker.is_down or pair in self._network.partitioned_zones:
            raise DispatchError("no connection", may_have_started=False)
        return worker

    async def _wait_until_running(self) -> None:
        await self._network.wait_until_running(
            self._identity.incarnation, self._identity.instance
        )

    async def run(self, address: str, task: TaskRequest) -> TaskResponse:
        worker = await self._connect(address)
        pending_start = create_task(worker.start_task(task), context=Context())
        try:
            response = await wait_for(
                self._wait_for_response(pending_start), task.timeout
            )
        except TimeoutError as error:
            raise DispatchError(
                "timeout", may_have_started=True, timed_out=True
            ) from error
        await self._network.wait_for_latency()
        await self._wait_until_running()
        return response

    async def _wait_for_response(self, pending_start) -> TaskResponse:
        return await shield(await shield(pending_start))

    async def probe(self, address: str) -> UpstreamReport:
        worker = await self._connect(address)
        if worker.fault == "freeze":
            await sleep(PROBE_TIMEOUT_SECONDS)
            raise DispatchError("timeout", may_have_started=False, timed_out=True)
        return UpstreamReport(len(worker.running), worker.is_draining)

    async def drain(self, address: str) -> None:
        (await self._connect(address)).is_draining = True

    async def resume(self, address: str) -> None:
        (await self._connect(address)).is_draining = False

    async def reboot(self, address: str) -> None:
        (await self._connect(address)).reboot()
