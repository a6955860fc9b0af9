"""Callers of a simulated cluster, who retry requests where a retry is permitted."""

from asyncio import Task, create_task, sleep, wait
from dataclasses import dataclass, field

from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.errors.run_states import RunState
from jujubebarrow.homes.run_results import RunResult
from jujubebarrow.peers.forward_messages import Forward
from jujubebarrow.tests.fakes.simulated_clusters import Host, SimulatedCluster

CALL_ATTEMPTS = 5
CALL_TIMEOUT_SECONDS = 4.0


@dataclass
class Call:
    """Request of a caller with all its attempts.

    Attributes:
        outcome: Outcome of the last attempt: answered, or the value of a ``RunState``;
            silent without a response.
        error: Kind of the last error response to any attempt; empty without an error
            response.
        may_have_run: Whether an attempt left open whether the request had run.
        was_told_of_all: Whether the last attempt was told that no attempt had run.
        attempts: Number of attempts.
    """

    queue: str
    team: str
    key: str
    outcome: str = "silent"
    error: str = ""
    may_have_run: bool = False
    was_told_of_all: bool = False
    attempts: int = 0


@dataclass
class SimulatedCallers:
    cluster: SimulatedCluster
    calls: list[Call] = field(default_factory=list)
    tasks: list[Task] = field(default_factory=list)

    async def send(
        self, queues: list[tuple[str, str]], seconds: float, rate: float
    ) -> None:
        """Send requests of random streams.

        Args:
            queues: Queue and team of each stream.
            seconds: Virtual time in seconds during which requests are sent.
            rate: Mean number of requests per second.
        """
        random = self.cluster.random
        end = self.cluster.now + seconds
        while self.cluster.now < end:
            await sleep(random.expovariate(rate))
            queue, team = random.choice(queues)
            call = Call(queue, team, f"key-{len(self.calls)}")
            self.calls.append(call)
            self.tasks.append(create_task(self._retry(call)))

    async def wait_for_calls(self) -> None:
        if self.tasks:
            await wait(self.tasks)
        for task in self.tasks:
            task.result()

    async def _retry(self, call: Call) -> None:
        random = self.cluster.random
        while call.attempts < CALL_ATTEMPTS:
            call.attempts += 1
            call.was_told_of_all = False
            hosts = self.cluster.live_hosts()
            if hosts and await self._send_once(call, random.choice(hosts)):
                return
            await sleep(random.uniform(0.1, 2.0))

    async def _send_once(self, call: Call, host: Host) -> bool:
        """Make one attempt; return whether the outcome of the attempt is final."""
        request_task = create_task(self._send_request(call, host), context=host.context)
        done, _ = await wait([request_task], timeout=CALL_TIMEOUT_SECONDS + 5)
        if not done or request_task.cancelled():
            call.outcome, call.may_have_run = "silent", True
            return False
        try:
            result = request_task.result()
        except RefusalError as error:
            return self._handle_refusal(call, error)
        if result.status >= 500:
            call.outcome, call.error, call.may_have_run = "unknown", "failed", True
            return False
        if result.body != call.key.encode():
            self.cluster.record_violation(
                f"{call.key} received the response body {result.body!r}"
            )
        call.outcome = "answered"
        return True

    def _handle_refusal(self, call: Call, error: RefusalError) -> bool:
        """Record a refusal; return whether the refusal is final."""
        call.error = error.kind.value
        call.outcome = error.run.value
        if error.run is not RunState.NOT_RUN:
            call.may_have_run = True
        elif error.holds_for_all_attempts:
            call.was_told_of_all = True
        if error.kind is ErrorKind.INVARIANT_BROKEN:
            self.cluster.record_violation(str(error))
        return not error.response.is_retryable

    async def _send_request(self, call: Call, host: Host) -> RunResult:
        node = host.node
        assert node is not None
        # A frozen process handles a request only after the process has resumed.
        assert host.identity is not None
        await self.cluster.network.wait_until_running(
            host.identity.incarnation, host.name
        )
        key = self.cluster.keys.get(call.team, "")
        caller, queue = node.authenticator.authorise(f"Bearer {key}", call.queue)
        forward = Forward(
            request=f"request-{call.key}-{call.attempts}",
            queue=call.queue,
            team=caller.team,
            key=caller.key,
            remaining=CALL_TIMEOUT_SECONDS,
            idempotency_key=call.key,
            body=call.key.encode(),
            priority=queue.priority,
        )
        result = await node.requests.run(forward)
        await self.cluster.network.wait_until_running(
            host.identity.incarnation, host.name
        )
        return result
