"""Callers of a world, who repeat what may be repeated."""

from asyncio import Task, create_task, sleep, wait
from dataclasses import dataclass, field

from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.errors.run_states import RunState
from jujubebarrow.homes.run_results import RunResult
from jujubebarrow.peers.forward_messages import Forward
from jujubebarrow.tests.fakes.worlds import Host, World

ATTEMPTS = 5
TIMEOUT_SECONDS = 4.0


@dataclass
class Call:
    """One request with all its repeats.

    Attributes:
        kind: Final answer: answered, not-run, unknown or silent.
        maybe_ran: Whether some answer left it open whether it ran.
    """

    queue: str
    team: str
    key: str
    kind: str = "silent"
    error: str = ""
    maybe_ran: bool = False
    attempts: int = 0


@dataclass
class WorldCallers:
    world: World
    calls: list[Call] = field(default_factory=list)
    tasks: list[Task] = field(default_factory=list)

    async def send(
        self, queues: list[tuple[str, str]], seconds: float, rate: float
    ) -> None:
        """Send requests of random streams for some virtual seconds."""
        random = self.world.random
        end = self.world.now + seconds
        while self.world.now < end:
            await sleep(random.expovariate(rate))
            queue, team = random.choice(queues)
            call = Call(queue, team, f"key-{len(self.calls)}")
            self.calls.append(call)
            self.tasks.append(create_task(self._repeat(call)))

    async def finish(self) -> None:
        if self.tasks:
            await wait(self.tasks)
        for task in self.tasks:
            task.result()

    async def _repeat(self, call: Call) -> None:
        random = self.world.random
        while call.attempts < ATTEMPTS:
            call.attempts += 1
            hosts = self.world.live_hosts()
            if hosts and await self._attempt(call, random.choice(hosts)):
                return
            await sleep(random.uniform(0.1, 2.0))

    async def _attempt(self, call: Call, host: Host) -> bool:
        """Send once; return whether the answer is final."""
        work = create_task(self._ask(call, host), context=host.context)
        done, _ = await wait([work], timeout=TIMEOUT_SECONDS + 5)
        if not done or work.cancelled():
            call.kind, call.maybe_ran = "silent", True
            return False
        try:
            answer = work.result()
        except RefusalError as error:
            return self._take_refusal(call, error)
        if answer.status >= 500:
            call.kind, call.error, call.maybe_ran = "unknown", "failed", True
            return False
        if answer.body != call.key.encode():
            self.world.note_broken(f"{call.key} got {answer.body!r}")
        call.kind = "answered"
        return True

    def _take_refusal(self, call: Call, error: RefusalError) -> bool:
        call.error = error.kind.value
        call.kind = error.run.value
        if error.run is not RunState.NOT_RUN:
            call.maybe_ran = True
        if error.kind is ErrorKind.INVARIANT_BROKEN:
            self.world.note_broken(str(error))
        return not error.answer.repeatable

    async def _ask(self, call: Call, host: Host) -> RunResult:
        node = host.node
        assert node is not None
        # Requests that a frozen process receives wait until it goes on.
        assert host.identity is not None
        await self.world.network.gate(host.identity.incarnation, host.name)
        key = self.world.keys.get(call.team, "")
        caller, queue = node.authenticator.authorise(f"Bearer {key}", call.queue)
        forward = Forward(
            request=f"request-{call.key}-{call.attempts}",
            queue=call.queue,
            team=caller.team,
            key=caller.key,
            remaining=TIMEOUT_SECONDS,
            idempotency_key=call.key,
            body=call.key.encode(),
            priority=queue.priority,
        )
        answer = await node.requests.run(forward)
        await self.world.network.gate(host.identity.incarnation, host.name)
        return answer
