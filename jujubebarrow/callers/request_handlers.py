"""Handler with which callers run requests on a queue."""

import json

from jujubebarrow.callers.authenticators import Caller
from jujubebarrow.callers.deadlines import read_timeout
from jujubebarrow.callers.submission_handlers import SubmissionHandler
from jujubebarrow.configurations.queue_records import Queue
from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.homes.run_results import RunResult
from jujubebarrow.peers.forward_messages import Forward

IDEMPOTENCY_KEY_LENGTH_LIMIT = 255
DEFAULT_MEDIA_TYPE = "application/octet-stream"


class QueueRequestHandler(SubmissionHandler):
    """Runs a request and sends the result."""

    caller: Caller
    queue: Queue
    timeout: float
    _received_at: float

    def prepare(self) -> None:
        """Check everything that does not depend on the body."""
        self._received_at = self.context.clock.monotonic()
        if self.context.is_stopping():
            raise RefusalError(ErrorKind.SHUTTING_DOWN, retry_after=1.0)
        if not self.context.is_ready():
            raise RefusalError(ErrorKind.NOT_READY, retry_after=1.0)
        if self.request.method != "POST":
            raise RefusalError(ErrorKind.BAD_REQUEST, "only POST")
        headers = self.request.headers
        self.caller, self.queue = self.context.authenticator.authorise(
            headers.get("Authorization"), self.path_args[0]
        )
        super().prepare()
        self.timeout = read_timeout(
            headers.get("Request-Timeout"),
            headers.get("Deadline"),
            self.context.clock.wall(),
            self.context.settings.default_deadline,
            self.context.settings.deadline_limit,
        )
        self._check_idempotency_key(self.idempotency_key)

    def _check_idempotency_key(self, key: str) -> None:
        if len(key) > IDEMPOTENCY_KEY_LENGTH_LIMIT:
            raise RefusalError(ErrorKind.BAD_REQUEST, "Idempotency-Key is too long")
        if not key and not self.queue.idempotent:
            raise RefusalError(ErrorKind.IDEMPOTENCY_KEY_REQUIRED)

    async def post(self, queue_name: str) -> None:
        """Run the request and send the result."""
        body = self.body
        content_type = self.request.headers.get("Content-Type", DEFAULT_MEDIA_TYPE)
        _check_json(content_type, body)
        forward = Forward(
            request=self.request_id,
            queue=queue_name,
            team=self.caller.team,
            key=self.caller.key,
            remaining=self.timeout,
            idempotency_key=self.idempotency_key,
            content_type=content_type,
            body=body,
            priority=self.queue.priority,
        )
        result = await self.context.requests.run(forward)
        self._send_result(queue_name, result)

    def _send_result(self, queue_name: str, result: RunResult) -> None:
        self.set_status(result.status)
        self.set_header("Content-Type", result.content_type)
        self.set_header("Request-Id", self.request_id)
        self.set_header("Run-State", "ran")
        if result.replayed:
            self.set_header("Idempotent-Replayed", "true")
        self.finish(result.body)
        self.metrics.count("answered", "replayed" if result.replayed else "run")
        elapsed = self.context.clock.monotonic() - self._received_at
        self.metrics.record_latency(queue_name, "total", elapsed)


def _check_json(content_type: str, body: bytes) -> None:
    if not content_type.startswith("application/json"):
        return
    try:
        json.loads(body)
    except ValueError as error:
        raise RefusalError(ErrorKind.BAD_JSON, type(error).__name__) from error
