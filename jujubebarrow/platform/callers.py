"""Clients' calls about jobs."""

import re
from math import ceil

from msgspec import DecodeError, ValidationError, json
from tornado.httputil import HTTPServerRequest

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.errors.answers import ANSWERS
from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.fleets.queue_routes import QueueRoute
from jujubebarrow.identifiers import OPEN_TEAM, JobId, TeamId
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.platform.wire_jobs import SPEC_LIMIT, WireJob
from jujubebarrow.runtimes.entry_nodes import EntryNode
from jujubebarrow.transports.http_servers import HttpReply, RequestAnswerer
from jujubebarrow.workloads.job_phases import JobPhase

SCHEME = "token"
JOB_PATTERN = re.compile(r"[0-9a-fA-F]{16}")
DEADLINE_HEADER = "X-Deadline-Ms"
DEFAULT_DEADLINE = 3.0
"""Seconds for a client that names no deadline."""
ANSWER_MARGIN = 0.15
"""Seconds of a deadline kept for the way back."""

STATUSES = {
    # Means that there is no such job, while 404 means that there is no such queue.
    ErrorKind.NOT_FOUND: 410,
    # After these a client sends the same id again.
    ErrorKind.RUN_UNKNOWN: 504,
    ErrorKind.INTERNAL: 502,
    ErrorKind.QUEUE_FULL: 429,
}

PHASES = {
    JobPhase.QUEUED: "queued",
    JobPhase.RUNNING: "running",
    JobPhase.COMPLETED: "completed",
    JobPhase.FAILED: "failed",
    JobPhase.CANCELLED: "cancelled",
}


class CallerAnswerer(RequestAnswerer):
    """Translates clients' calls into operations on jobs.

    Args:
        node: Entry instance.
        clock: Time source.
        log: Log of decisions.
        metrics: Counters and latencies.
    """

    def __init__(
        self,
        node: EntryNode,
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        self._node = node
        self._clock = clock
        self._log = log
        self._metrics = metrics

    @property
    def closes_connections(self) -> bool:
        """Whether clients are told to use another connection."""
        return self._node.is_stopping

    async def answer(self, request: HTTPServerRequest) -> HttpReply:
        """Return the answer to a client's call."""
        began = self._clock.monotonic()
        try:
            reply = await self._answer(request)
        except RefusalError as error:
            reply = self._refuse(request, error)
        except Exception as error:
            # Whether the job was stored is unknown; the client repeats the id.
            self._metrics.count("call_failed", type(error).__name__)
            self._log.write("call_failed", path=request.path, detail=repr(error))
            reply = self._refuse(request, RefusalError(ErrorKind.INTERNAL))
        method = request.method or ""
        self._metrics.count("answer", f"{method} {reply.status}")
        self._metrics.record("", method, self._clock.monotonic() - began)
        return reply

    def _refuse(self, request: HTTPServerRequest, error: RefusalError) -> HttpReply:
        status = STATUSES.get(error.kind, ANSWERS[error.kind].status)
        self._metrics.count("refusal", error.kind.value)
        fleet = self._node.follower.fleet
        age = self._node.follower.age
        self._log.write(
            "call_refused",
            method=request.method,
            path=request.path,
            reason=error.kind.value,
            detail=error.detail,
            status=status,
            run=error.run.value,
            version=fleet.version if fleet else None,
            age=round(age, 3) if fleet else None,
        )
        headers = {}
        if error.retry_after is not None:
            headers["Retry-After"] = str(max(1, ceil(error.retry_after)))
        body = json.encode({"Error": f"{error.kind.value}: {error.detail}"})
        return HttpReply(status, body, headers)

    async def _answer(self, request: HTTPServerRequest) -> HttpReply:
        route = self._find_route(request)
        team = self._authenticate(request, route)
        name = request.path[len(route.prefix) :]
        intake = self._node.intake
        if request.method == "GET" and not name:
            pending = await intake.count_pending(route)
            return HttpReply(200, json.encode({"Pending": pending}))
        if not JOB_PATTERN.fullmatch(name):
            raise RefusalError(ErrorKind.BAD_REQUEST, "not the id of a job")
        job = JobId(name)
        if request.method == "POST":
            await self._submit(request, route, team, job)
            return HttpReply(200)
        if request.method == "GET":
            phase = await intake.read_phase(route, team, job)
            return HttpReply(200, json.encode({"State": PHASES[phase]}))
        if request.method == "DELETE":
            await intake.cancel(route, team, job)
            return HttpReply(200)
        raise RefusalError(ErrorKind.BAD_REQUEST, f"method {request.method}")

    def _find_route(self, request: HTTPServerRequest) -> QueueRoute:
        fleet = self._node.follower.fleet
        if fleet is None:
            raise RefusalError(ErrorKind.NOT_READY, "no configuration yet", 1.0)
        host = request.headers.get("Host", "").split(":")[0]
        route = fleet.match(host, request.path)
        if route is None:
            raise RefusalError(ErrorKind.UNKNOWN_QUEUE, f"{host}{request.path}")
        return route

    def _authenticate(self, request: HTTPServerRequest, route: QueueRoute) -> TeamId:
        if route.is_open:
            return OPEN_TEAM
        follower = self._node.follower
        if not follower.is_fresh:
            age = f"configuration confirmed {follower.age:.2f} s ago"
            raise RefusalError(ErrorKind.CONFIGURATION_STALE, age, 1.0)
        scheme, _, key = request.headers.get("Authorization", "").partition(" ")
        fleet = follower.fleet
        team = None
        if fleet is not None and scheme.lower() == SCHEME:
            team = fleet.find_team(key.strip())
        if team is None:
            raise RefusalError(ErrorKind.UNAUTHENTICATED, "no valid key")
        return team

    async def _submit(
        self,
        request: HTTPServerRequest,
        route: QueueRoute,
        team: TeamId,
        job: JobId,
    ) -> None:
        fleet = self._node.follower.fleet
        if fleet is not None and 0 < fleet.body_limit < len(request.body):
            raise RefusalError(ErrorKind.BODY_TOO_LARGE, f"{len(request.body)} bytes")
        try:
            wire = json.decode(request.body, type=WireJob)
        except ValidationError as error:
            raise RefusalError(ErrorKind.BAD_REQUEST, str(error)) from error
        except DecodeError as error:
            raise RefusalError(ErrorKind.BAD_JSON, str(error)) from error
        if len(wire.spec.encode()) > SPEC_LIMIT:
            raise RefusalError(ErrorKind.BODY_TOO_LARGE, "text for the tasks")
        timeout = max(ANSWER_MARGIN, self._read_deadline(request) - ANSWER_MARGIN)
        submission = wire.to_submission()
        await self._node.intake.submit(route, team, job, submission, timeout)

    def _read_deadline(self, request: HTTPServerRequest) -> float:
        text = request.headers.get(DEADLINE_HEADER, "")
        if not text:
            return DEFAULT_DEADLINE
        try:
            return max(0.0, float(text) / 1000)
        except ValueError as error:
            raise RefusalError(ErrorKind.BAD_DEADLINE, text) from error
