"""Handlers with which callers submit, read and cancel jobs."""

from hashlib import blake2b
from uuid import uuid4

from jujubebarrow.callers.authenticators import Caller
from jujubebarrow.callers.deadlines import read_timeout
from jujubebarrow.callers.job_documents import JobDocument
from jujubebarrow.callers.job_requests import read_submission
from jujubebarrow.callers.submission_handlers import SubmissionHandler
from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.fleets.queue_routes import QueueRoute
from jujubebarrow.identifiers import JobId, QueueId, RequestId
from jujubebarrow.workloads.job_phases import JobPhase

JOB_ID_BYTES = 8
"""Length of a job id, as in the ids that callers of the platform choose."""
IDEMPOTENCY_KEY_LENGTH_LIMIT = 255
RETRY_AFTER_SECONDS = 1.0
"""Retry-After value while this instance refuses jobs or the store is unavailable."""


def make_job_id(team: str, queue: str, key: str) -> JobId:
    """Return a job id derived from the idempotency key, or a random id without key."""
    if not key:
        return JobId(uuid4().hex[: 2 * JOB_ID_BYTES])
    identity = "\0".join((team, queue, key))
    return JobId(blake2b(identity.encode(), digest_size=JOB_ID_BYTES).hexdigest())


class _JobHandler(SubmissionHandler):
    def _authorise(self, queue: str) -> tuple[Caller, QueueRoute]:
        caller, _ = self.context.authenticator.authorise(
            self.request.headers.get("Authorization"), queue
        )
        return caller, self.context.jobs.find_route(QueueId(queue))

    def _send_job(
        self, job: str, queue: str, state: JobPhase, status: int = 200
    ) -> None:
        document = JobDocument(id=job, queue=queue, state=state)
        self.send_document(document, status=status)


class QueueJobsHandler(_JobHandler):
    """Handles job submissions."""

    def prepare(self) -> None:
        """Check everything that does not depend on the body."""
        if self.context.is_stopping():
            raise RefusalError(ErrorKind.SHUTTING_DOWN, retry_after=RETRY_AFTER_SECONDS)
        if not self.context.is_ready():
            raise RefusalError(ErrorKind.NOT_READY, retry_after=RETRY_AFTER_SECONDS)
        if self.request.method != "POST":
            raise RefusalError(ErrorKind.BAD_REQUEST, "only POST")
        self._caller, self._route = self._authorise(self.path_args[0])
        super().prepare()

    async def post(self, queue: str) -> None:
        """Accept a job; the job is stored before the response is sent."""
        headers = self.request.headers
        key = self.idempotency_key
        if len(key) > IDEMPOTENCY_KEY_LENGTH_LIMIT:
            raise RefusalError(ErrorKind.BAD_REQUEST, "Idempotency-Key is too long")
        timeout = read_timeout(
            headers.get("Request-Timeout"),
            headers.get("Deadline"),
            self.context.clock.wall(),
            self.context.settings.default_deadline,
            self.context.settings.deadline_limit,
        )
        submission = read_submission(self.body)
        # The key may have been withdrawn while the body was received.
        caller, route = self._authorise(queue)
        job = make_job_id(caller.team, queue, key)
        intake = self.context.jobs.intake
        try:
            await intake.submit(
                route,
                caller.team,
                job,
                submission,
                timeout,
                RequestId(self.request_id),
                may_be_repeated=bool(key),
            )
        except RefusalError as error:
            if error.kind is not ErrorKind.RUN_UNKNOWN:
                raise
            # The caller may retry, because a job, unlike a request, can safely be
            # submitted again with the same key.
            raise RefusalError(
                ErrorKind.IN_PROGRESS, error.detail, RETRY_AFTER_SECONDS
            ) from error
        self.set_header("Location", f"/v1/queues/{queue}/jobs/{job}")
        self.metrics.count("answered", "accepted")
        self._send_job(job, queue, JobPhase.QUEUED, status=202)


class QueueJobHandler(_JobHandler):
    """Handles reads and cancellations of a job of the caller's team."""

    async def get(self, queue: str, job: str) -> None:
        """Send the state of a job."""
        caller, _ = self._authorise(queue)
        await self._send_current_state(caller, queue, job)

    async def delete(self, queue: str, job: str) -> None:
        """Cancel a job; the cancellation is stored before the response is sent."""
        caller, route = self._authorise(queue)
        await self.context.jobs.intake.cancel(
            route, caller.team, JobId(job), RequestId(self.request_id)
        )
        await self._send_current_state(caller, queue, job)

    async def _send_current_state(self, caller: Caller, queue: str, job: str) -> None:
        job_access = self.context.jobs
        summary = await job_access.find_job(QueueId(queue), JobId(job), caller.team)
        self._send_job(job, queue, summary.phase)
