"""Handler of the HTTP requests in which callers submit, read and cancel jobs."""

import re
from math import ceil

from msgspec import DecodeError, ValidationError, json
from tornado.httputil import HTTPServerRequest

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.errors.error_responses import ERROR_RESPONSES
from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.errors.run_states import RunState
from jujubebarrow.fleets.queue_routes import QueueRoute
from jujubebarrow.identifiers import OPEN_TEAM, JobId, RequestId, TeamId
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.platform.wire_jobs import SPEC_LIMIT_BYTES, WireJob
from jujubebarrow.runtimes.entry_nodes import EntryNode
from jujubebarrow.transports.http_servers import HttpRequestHandler, ServerResponse
from jujubebarrow.workloads.job_phases import JobPhase

AUTHORIZATION_SCHEME = "token"
JOB_ID_PATTERN = re.compile(r"[0-9a-fA-F]{16}")
DEADLINE_HEADER = "X-Deadline-Ms"
REQUEST_HEADER = "Request-Id"
REQUEST_ID_LENGTH_LIMIT = 64
"""Longest id of a request in the log; the rest of a longer one is left out."""
DEFAULT_DEADLINE_SECONDS = 3.0
"""Deadline of a request without a deadline header."""
RESPONSE_MARGIN_SECONDS = 0.15
"""Part of a request's deadline that is reserved for sending the response."""

STATUS_CODES = {
    # 410 means that the job does not exist; 404 means that the queue does not exist.
    ErrorKind.NOT_FOUND: 410,
    ErrorKind.INTERNAL: 502,
    ErrorKind.QUEUE_FULL: 429,
    # 503 tells that the job was not accepted and never runs.
    ErrorKind.CANCELLED: 503,
}
UNKNOWN_RUN_STATUS = 504
"""Status after which a caller sends the same job id again, since it may be stored; 429
and 503 tell that the job never runs."""

PHASE_NAMES = {
    JobPhase.QUEUED: "queued",
    JobPhase.RUNNING: "running",
    JobPhase.COMPLETED: "completed",
    JobPhase.FAILED: "failed",
    JobPhase.CANCELLED: "cancelled",
}


class CallerHandler(HttpRequestHandler):
    """Translates callers' HTTP requests into operations on jobs.

    Args:
        node: Entry instance that executes the operations.
        clock: Time source for latencies.
        log: Decision log.
        metrics: Registry of the counters and latencies.
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
        """Whether responses tell clients to close the connection."""
        return self._node.is_stopping

    async def handle(self, request: HTTPServerRequest) -> ServerResponse:
        """Return the response to a caller's request."""
        started_at = self._clock.monotonic()
        try:
            response = await self._dispatch(request)
        except RefusalError as error:
            response = self._make_error_response(request, error)
        except Exception as error:
            # The job may or may not be stored; the caller repeats the request with
            # the same job id.
            self._metrics.count("call_failed", type(error).__name__)
            self._log.write(
                "call_failed",
                request=_read_request_id(request),
                path=request.path,
                detail=repr(error),
            )
            response = self._make_error_response(
                request, RefusalError(ErrorKind.INTERNAL)
            )
        method = request.method or ""
        self._metrics.count("answer", f"{method} {response.status}")
        self._metrics.record_latency("", method, self._clock.monotonic() - started_at)
        return response

    def _make_error_response(
        self, request: HTTPServerRequest, error: RefusalError
    ) -> ServerResponse:
        status = _find_status(error)
        self._metrics.count("refusal", error.kind.value)
        fleet = self._node.fleet_source.fleet
        age = self._node.fleet_source.age
        self._log.write(
            "call_refused",
            request=_read_request_id(request),
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
        return ServerResponse(status, body, headers)

    async def _dispatch(self, request: HTTPServerRequest) -> ServerResponse:
        route = self._find_route(request)
        team = self._authenticate(request, route)
        suffix = request.path[len(route.prefix) :]
        intake = self._node.intake
        if request.method == "GET" and not suffix:
            pending = await intake.count_pending(route)
            return ServerResponse(200, json.encode({"Pending": pending}))
        if not JOB_ID_PATTERN.fullmatch(suffix):
            raise RefusalError(ErrorKind.BAD_REQUEST, "not the id of a job")
        job = JobId(suffix)
        if request.method == "POST":
            await self._submit(request, route, team, job)
            return ServerResponse(200)
        if request.method == "GET":
            phase = await intake.read_phase(route, team, job)
            return ServerResponse(200, json.encode({"State": PHASE_NAMES[phase]}))
        if request.method == "DELETE":
            await intake.cancel(route, team, job, _read_request_id(request))
            return ServerResponse(200)
        raise RefusalError(ErrorKind.BAD_REQUEST, f"method {request.method}")

    def _find_route(self, request: HTTPServerRequest) -> QueueRoute:
        fleet = self._node.fleet_source.fleet
        if fleet is None:
            raise RefusalError(ErrorKind.NOT_READY, "no configuration yet", 1.0)
        host = request.headers.get("Host", "").split(":")[0]
        route = fleet.match(host, request.path)
        if route is None:
            if request.method == "POST":
                # An up-to-date instance may know the queue.
                self._check_freshness(request)
            raise RefusalError(ErrorKind.UNKNOWN_QUEUE, f"{host}{request.path}")
        return route

    def _check_freshness(self, request: HTTPServerRequest) -> None:
        fleet_source = self._node.fleet_source
        if fleet_source.is_fresh:
            return
        detail = f"configuration confirmed {fleet_source.age:.2f} s ago"
        # An earlier attempt may have been accepted by an up-to-date instance.
        run = RunState.UNKNOWN if request.method == "POST" else None
        raise RefusalError(ErrorKind.CONFIGURATION_STALE, detail, 1.0, run)

    def _authenticate(self, request: HTTPServerRequest, route: QueueRoute) -> TeamId:
        if route.is_open:
            return OPEN_TEAM
        self._check_freshness(request)
        scheme, _, key = request.headers.get("Authorization", "").partition(" ")
        fleet = self._node.fleet_source.fleet
        team = None
        if fleet is not None and scheme.lower() == AUTHORIZATION_SCHEME:
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
        fleet = self._node.fleet_source.fleet
        if fleet is not None and 0 < fleet.body_limit < len(request.body):
            raise RefusalError(ErrorKind.BODY_TOO_LARGE, f"{len(request.body)} bytes")
        try:
            wire = json.decode(request.body, type=WireJob)
        except ValidationError as error:
            raise RefusalError(ErrorKind.BAD_REQUEST, str(error)) from error
        except (DecodeError, RecursionError) as error:
            raise RefusalError(ErrorKind.BAD_JSON, str(error)) from error
        if len(wire.spec.encode()) > SPEC_LIMIT_BYTES:
            raise RefusalError(ErrorKind.BODY_TOO_LARGE, "text for the tasks")
        timeout = max(
            RESPONSE_MARGIN_SECONDS,
            self._read_deadline(request) - RESPONSE_MARGIN_SECONDS,
        )
        submission = wire.to_submission()
        await self._node.intake.submit(
            route, team, job, submission, timeout, _read_request_id(request)
        )

    def _read_deadline(self, request: HTTPServerRequest) -> float:
        text = request.headers.get(DEADLINE_HEADER, "")
        if not text:
            return DEFAULT_DEADLINE_SECONDS
        try:
            return max(0.0, float(text) / 1000)
        except ValueError as error:
            raise RefusalError(ErrorKind.BAD_DEADLINE, text) from error


def _find_status(error: RefusalError) -> int:
    if error.kind in STATUS_CODES:
        return STATUS_CODES[error.kind]
    if error.run is RunState.UNKNOWN:
        return UNKNOWN_RUN_STATUS
    return ERROR_RESPONSES[error.kind].status


def _read_request_id(request: HTTPServerRequest) -> RequestId:
    """Return the id that the caller gave to this attempt; empty if there is none."""
    text = request.headers.get(REQUEST_HEADER, "")
    return RequestId(text[:REQUEST_ID_LENGTH_LIMIT])
