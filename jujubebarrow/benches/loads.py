"""Open-loop load on a fleet of real processes."""

import json
import time
from asyncio import Task, create_task, gather, sleep
from dataclasses import dataclass, field
from random import Random

from tornado.httpclient import HTTPResponse

from jujubebarrow.benches.outcomes import OutcomeKind, RequestOutcome
from jujubebarrow.standins.fleets import NO_RESPONSE_STATUS, EntryInstance, Fleet
from jujubebarrow.standins.ports import LOOPBACK

MIN_RETRY_DELAY_SECONDS = 0.1
MAX_RETRY_DELAY_SECONDS = 2.0
HEALTH_CHECK_PERIOD_SECONDS = 0.25


@dataclass(frozen=True)
class LoadStream:
    """Stream of requests from one team to one queue.

    Attributes:
        team: Team that sends the requests; empty for an open queue.
        queue: Queue that receives the requests.
        rate: Mean number of requests per second.
        is_job: Whether the requests are submitted as jobs.
        timeout: Time in seconds that the caller waits for one response.
        max_attempts: Maximum number of times that a request is sent.
    """

    team: str
    queue: str
    rate: float
    is_job: bool = False
    timeout: float = 5.0
    max_attempts: int = 6


@dataclass
class Load:
    """Sends streams of requests and records the outcome of each request.

    Attributes:
        fleet: Fleet that receives the requests.
        streams: Streams to send.
        seed: Seed of the arrival times and of the choice of entry instances.
        outcomes: Outcomes of all requests sent.
    """

    fleet: Fleet
    streams: list[LoadStream]
    seed: int
    outcomes: list[RequestOutcome] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Create the random source and consider all entry instances as ready."""
        self._entry_random = Random(self.seed)
        self._send_tasks: list[Task[None]] = []
        self._ready_entries: list[EntryInstance] = list(self.fleet.entries.values())

    async def run(self, seconds: float) -> None:
        """Send requests for the given time, then wait for all final responses."""
        health_checks = create_task(self._run_health_checks())
        try:
            await gather(
                *(
                    self._run_stream(number, stream, seconds)
                    for number, stream in enumerate(self.streams)
                )
            )
            await gather(*self._send_tasks)
        finally:
            health_checks.cancel()

    async def _run_health_checks(self) -> None:
        """Check the health of the entry instances like the platform's load balancer."""
        while True:
            entries = list(self.fleet.entries.values())
            checks = await gather(*(self._is_ready(entry) for entry in entries))
            ready = [e for e, is_ok in zip(entries, checks, strict=True) if is_ok]
            self._ready_entries = ready or entries
            await sleep(HEALTH_CHECK_PERIOD_SECONDS)

    async def _is_ready(self, entry: EntryInstance) -> bool:
        if entry.process is None or not entry.process.is_running:
            return False
        url = f"http://{LOOPBACK}:{entry.caller_port}/v1/health"
        return (await self.fleet.fetch("GET", url)).code == 200

    async def _run_stream(
        self, stream_number: int, stream: LoadStream, seconds: float
    ) -> None:
        random = Random(f"{self.seed}/{stream_number}")
        start = time.monotonic()
        send_offset = 0.0
        request_number = 0
        while True:
            send_offset += random.expovariate(stream.rate)
            if send_offset >= seconds:
                return
            await sleep(max(0.0, start + send_offset - time.monotonic()))
            request_number += 1
            key = f"{stream.queue}-{stream.team}-{stream_number}-{request_number}"
            outcome = RequestOutcome(key, stream.queue, stream.team)
            self.outcomes.append(outcome)
            self._send_tasks.append(create_task(self._send(stream, outcome)))

    async def _send(self, stream: LoadStream, outcome: RequestOutcome) -> None:
        """Send a request until a response is final or no attempts are left."""
        start = time.monotonic()
        retry_delay_seconds = MIN_RETRY_DELAY_SECONDS
        while outcome.attempts < stream.max_attempts:
            outcome.attempts += 1
            response = await self._post(stream, outcome)
            if self._handle_response(stream, outcome, response):
                break
            await sleep(retry_delay_seconds)
            retry_delay_seconds = min(MAX_RETRY_DELAY_SECONDS, retry_delay_seconds * 2)
        outcome.seconds = time.monotonic() - start

    async def _post(self, stream: LoadStream, outcome: RequestOutcome) -> HTTPResponse:
        headers = {
            "Idempotency-Key": outcome.key,
            "Request-Timeout": str(stream.timeout),
            "Content-Type": "application/json",
        }
        if stream.team:
            headers["Authorization"] = f"Bearer {self.fleet.keys[stream.team]}"
        port = self._choose_entry().caller_port
        resource, body = "requests", {"key": outcome.key}
        if stream.is_job:
            resource, body = "jobs", {"payload": outcome.key, "steps": [{"cores": 0.5}]}
        url = f"http://{LOOPBACK}:{port}/v1/queues/{stream.queue}/{resource}"
        return await self.fleet.fetch("POST", url, body, **headers)

    def _choose_entry(self) -> EntryInstance:
        return self._entry_random.choice(self._ready_entries)

    def _handle_response(
        self, stream: LoadStream, outcome: RequestOutcome, response: HTTPResponse
    ) -> bool:
        """Record a response; return whether the response is final."""
        if isinstance(response.error, ConnectionRefusedError):
            # The request was not sent: the entry instance has terminated and the next
            # health check has not yet removed the entry instance from the choice.
            outcome.attempts -= 1
            return False
        if response.code == NO_RESPONSE_STATUS:
            outcome.kind = OutcomeKind.UNKNOWN
            outcome.error = "no-answer"
            outcome.may_have_run = True
            return False
        if response.code == 202:
            outcome.kind = OutcomeKind.ACCEPTED
            outcome.location = response.headers["Location"]
            outcome.error = ""
            return True
        run_state = response.headers.get("Run-State", "")
        if run_state == "ran" and response.code < 300:
            outcome.kind = OutcomeKind.ANSWERED
            outcome.error = ""
            if stream.queue and outcome.key.encode() not in response.body:
                outcome.error = "wrong-answer"
                outcome.kind = OutcomeKind.NO_VALID_RESPONSE
            return True
        problem = json.loads(response.body)
        outcome.error = problem["kind"]
        outcome.kind = OutcomeKind.NOT_RUN
        if run_state != "not-run":
            outcome.kind = OutcomeKind.UNKNOWN
            outcome.may_have_run = True
        return "Retry-After" not in response.headers

    async def wait_for_jobs(self, seconds: float) -> frozenset[str]:
        """Wait until the accepted jobs have reached a final state.

        Args:
            seconds: Maximum time to wait.

        Returns:
            The idempotency keys of the completed jobs.
        """
        jobs = [item for item in self.outcomes if item.kind is OutcomeKind.ACCEPTED]
        completed: set[str] = set()
        end = time.monotonic() + seconds
        pending = jobs
        while pending and time.monotonic() < end:
            still_pending = []
            for job in pending:
                state = await self._fetch_job_state(job)
                if state == "completed":
                    completed.add(job.key)
                elif state in ("", "queued", "running"):
                    still_pending.append(job)
            pending = still_pending
            await sleep(MAX_RETRY_DELAY_SECONDS / 4)
        return frozenset(completed)

    async def _fetch_job_state(self, job: RequestOutcome) -> str:
        """Return the state of a job, or an empty text if the query failed."""
        url = f"http://{LOOPBACK}:{self._choose_entry().caller_port}{job.location}"
        authorization = f"Bearer {self.fleet.keys[job.team]}"
        response = await self.fleet.fetch("GET", url, Authorization=authorization)
        if response.code != 200:
            return ""
        return json.loads(response.body)["state"]
