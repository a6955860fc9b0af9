"""Accepts jobs, supervises them and keeps their outcome."""

from asyncio import Task, create_task, gather, sleep
from collections.abc import Callable
from uuid import uuid4

from jujubebarrow.claims.claims import Outcome
from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.configurations.configurations import Configuration
from jujubebarrow.configurations.priorities import Priority
from jujubebarrow.errors.exceptions import (
    PeerLostError,
    RefusalError,
    StoreError,
    TransactionConflictError,
)
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.homes.borrowers import PeerCalls
from jujubebarrow.homes.run_results import RunResult
from jujubebarrow.jobs.job_states import OPEN_STATES, JobState
from jujubebarrow.jobs.jobs import OPEN_PREFIX, Job, job_id
from jujubebarrow.jobs.stored_jobs import StoredJob
from jujubebarrow.jobs.verdicts import JobVerdict, judge_refusal, judge_result
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.peers.forward_messages import Forward
from jujubebarrow.peers.identities import PeerIdentity
from jujubebarrow.peers.job_messages import SuperviseRequest
from jujubebarrow.services.job_stores import JobStore
from jujubebarrow.services.request_services import RequestService
from jujubebarrow.settings.settings import Settings
from jujubebarrow.stores.stores import Store

RUN_LIMIT_SECONDS = 6 * 3600.0
STORE_RETRY_SECONDS = 1.0
CONFLICT_PAUSE_SECONDS = 0.2
STUCK_SECONDS = 5.0
"""Time after which a job without a first attempt is named to its supervisor."""


class JobService:
    """Runs jobs through the same path as other requests.

    Every attempt is claimed under a key of its own, so that a second supervisor
    finds what became of it.

    Args:
        identity: This process.
        platform: Table and object store.
        store: Jobs in the table.
        requests: Runs the attempts.
        configuration: Records in force.
        clock: Time source.
        settings: Bounds.
        metrics: Where states are counted.
        has_ended: Tells whether an instance's process has ended for certain.
        peers: Supervisors of other jobs.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        platform: Store,
        store: JobStore,
        requests: RequestService,
        configuration: Configuration,
        clock: Clock,
        settings: Settings,
        metrics: MetricsRegistry,
        has_ended: Callable[[str, str], bool],
        peers: PeerCalls,
    ):
        self._identity = identity
        self._platform = platform
        self._store = store
        self._requests = requests
        self._configuration = configuration
        self._clock = clock
        self._settings = settings
        self._metrics = metrics
        self._has_ended = has_ended
        self._peers = peers
        self._supervisors: dict[str, Task[None]] = {}
        self._feed_revision = 0
        self._open: dict[str, StoredJob] = {}
        self._noticed: dict[str, tuple[int, float]] = {}
        self._checks: set[Task[None]] = set()

    async def close(self) -> None:
        """Hand all jobs over to other instances."""
        supervised = list(self._supervisors)
        tasks = [*self._supervisors.values(), *self._checks]
        for task in tasks:
            task.cancel()
        await gather(*tasks, return_exceptions=True)
        await gather(*(self._hand_over(name) for name in supervised))

    async def _hand_over(self, name: str) -> None:
        try:
            stored = await self._store.read(OPEN_PREFIX, name)
            if stored and stored.job.incarnation == self._identity.incarnation:
                update = {"runner": "", "incarnation": "", "reason": "handed over"}
                await self._store.write(stored, update)
        except (RefusalError, StoreError, TransactionConflictError):
            # Another instance adopts it once this one has left the list.
            self._metrics.count("job_hand_over_failed")

    async def accept(self, request: Forward) -> str:
        """Accept a job durably and return its id.

        Raises:
            RefusalError: The job was not accepted.
        """
        key = request.idempotency_key or uuid4().hex
        name = job_id(request.team, request.queue, key)
        job = await self._store.make(request)
        try:
            stored = await self._store.create(name, job)
        except TransactionConflictError:
            return await self._accept_again(name, job)
        except StoreError as error:
            # The write may still take effect, and a repeat may be told so by
            # another instance.
            self.supervise_later(name)
            raise RefusalError(
                ErrorKind.STORE_UNAVAILABLE, "job", retry_after=STORE_RETRY_SECONDS
            ) from error
        self._metrics.count("job", JobState.ACCEPTED.value)
        self._supervise(stored)
        return name

    async def _accept_again(self, name: str, job: Job) -> str:
        stored = await self._store.find(name)
        if stored is None:
            raise RefusalError(ErrorKind.IN_PROGRESS, retry_after=STORE_RETRY_SECONDS)
        if stored.job.body_digest != job.body_digest:
            raise RefusalError(ErrorKind.IDEMPOTENCY_KEY_REUSED)
        self.supervise_later(name)
        return name

    def supervise_later(self, name: str) -> None:
        """Supervise a job if it is stored under this process."""
        task = create_task(self._supervise_stored(name))
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)

    async def _supervise_stored(self, name: str) -> None:
        stored = await self._reread(name)
        if stored is not None:
            self._supervise(stored)

    async def get(self, name: str, team: str | None) -> Job:
        """Return a job.

        Args:
            name: Id of the job.
            team: Team that asks; None for an operator.

        Raises:
            RefusalError: There is no such job of this team.
        """
        stored = await self._store.find(name)
        if stored is None or team not in (None, stored.job.team):
            raise RefusalError(ErrorKind.NOT_FOUND, "job")
        return stored.job

    async def cancel(self, name: str, team: str | None) -> Job:
        """Cancel a job that has not started; do not start a running one again.

        Raises:
            RefusalError: There is no such job, or it changed meanwhile.
        """
        stored = await self._store.find(name)
        if stored is None or team not in (None, stored.job.team):
            raise RefusalError(ErrorKind.NOT_FOUND, "job")
        job = stored.job
        if job.state not in OPEN_STATES:
            return job
        try:
            if job.state is JobState.ACCEPTED and job.attempts == 0:
                return await self._store.close(stored, JobState.CANCELLED, "cancelled")
            update = {"cancelling": True, "reason": "cancelled while it ran"}
            return (await self._store.write(stored, update)).job
        except TransactionConflictError as error:
            raise RefusalError(ErrorKind.REVISION_CONFLICT, "job") from error
        except StoreError as error:
            raise RefusalError(ErrorKind.STORE_UNAVAILABLE, "job") from error

    async def adopt(self) -> None:
        """Take over jobs whose supervisor has ended.

        Raises:
            StoreError: The platform does not answer.
        """
        changes = await self._platform.read_changes(OPEN_PREFIX, self._feed_revision, 0)
        for row in changes.rows:
            name = row.key.removeprefix(OPEN_PREFIX)
            self._open.pop(name, None)
            if row.value is not None:
                job = Job.model_validate(row.value)
                stored = StoredJob(job_id=name, job=job, revision=row.revision)
                self._open[name] = stored
        self._feed_revision = changes.revision
        for stored in list(self._open.values()):
            if self._is_orphaned(stored):
                await self._adopt(stored)
            elif self._is_stuck(stored):
                await self._remind(stored)

    def _is_stuck(self, stored: StoredJob) -> bool:
        """Return whether a job has waited too long for its first attempt."""
        if stored.job.state is not JobState.ACCEPTED or stored.job.attempts:
            self._noticed.pop(stored.job_id, None)
            return False
        now = self._clock.monotonic()
        revision, since = self._noticed.get(stored.job_id, (0, now))
        if revision != stored.revision:
            self._noticed[stored.job_id] = (stored.revision, now)
            return False
        return now - since >= STUCK_SECONDS

    async def _remind(self, stored: StoredJob) -> None:
        """Name a job to its supervisor, which may not know that it was stored."""
        self._noticed.pop(stored.job_id, None)
        request = SuperviseRequest(job=stored.job_id)
        timeout = self._settings.peer_timeout
        try:
            await self._peers.request(stored.job.runner, request, timeout)
        except PeerLostError:
            self._metrics.count("job_reminder_lost")

    def _is_orphaned(self, stored: StoredJob) -> bool:
        job = stored.job
        if stored.job_id in self._supervisors:
            return False
        if job.incarnation in ("", self._identity.incarnation):
            return True
        return self._has_ended(job.runner, job.incarnation)

    async def _adopt(self, stored: StoredJob) -> None:
        update = {
            "runner": self._identity.instance,
            "incarnation": self._identity.incarnation,
            "reason": f"adopted from {stored.job.runner or 'a hand-over'}",
        }
        try:
            adopted = await self._store.write(stored, update)
        except TransactionConflictError:
            return
        self._metrics.count("job_adopted")
        self._supervise(adopted)

    def _supervise(self, stored: StoredJob) -> None:
        if stored.job_id in self._supervisors:
            return
        task = create_task(self._run(stored))
        self._supervisors[stored.job_id] = task
        task.add_done_callback(lambda done: self._supervisors.pop(stored.job_id, None))

    async def _run(self, stored: StoredJob) -> None:
        current: StoredJob | None = stored
        while current is not None:
            try:
                current = await self._step(current)
            except TransactionConflictError:
                await sleep(CONFLICT_PAUSE_SECONDS)
                current = await self._reread(stored.job_id)
            except (StoreError, RefusalError):
                self._metrics.count("retry", "job-store")
                await sleep(STORE_RETRY_SECONDS)
                current = await self._reread(stored.job_id)

    async def _reread(self, name: str) -> StoredJob | None:
        while True:
            try:
                stored = await self._store.read(OPEN_PREFIX, name)
                break
            except RefusalError:
                await sleep(STORE_RETRY_SECONDS)
        if stored is None or stored.job.incarnation != self._identity.incarnation:
            return None
        return stored

    async def _step(self, stored: StoredJob) -> StoredJob | None:
        """Make one attempt; return None once the job is closed."""
        if stored.job.cancelling:
            await self._store.close(stored, JobState.CANCELLED, "cancelled")
            return None
        if stored.job.state is JobState.ACCEPTED:
            update = {
                "state": JobState.RUNNING,
                "attempts": max(1, stored.job.attempts),
            }
            stored = await self._store.write(stored, update)
        verdict, outcome = await self._attempt(stored)
        if verdict.state not in OPEN_STATES:
            # Read again, since a cancellation may have changed the row.
            latest = await self._reread(stored.job_id)
            if latest is not None:
                await self._store.close(latest, verdict.state, verdict.reason, outcome)
            return None
        await sleep(verdict.pause)
        if not verdict.counted:
            return await self._reread(stored.job_id)
        update = {"attempts": stored.job.attempts + 1, "reason": verdict.reason}
        return await self._store.write(stored, update)

    async def _attempt(self, stored: StoredJob) -> tuple[JobVerdict, Outcome | None]:
        job = stored.job
        queue = self._configuration.queue(job.queue)
        idempotent = queue.idempotent if queue else False
        limit = self._settings.job_attempts
        try:
            result = await self._requests.run(await self._make_request(stored))
        except RefusalError as error:
            lease = self._settings.task_lease + self._settings.clock_error
            verdict = judge_refusal(error, idempotent, job.attempts, limit, lease)
            return verdict, None
        return judge_result(result, job.attempts, limit), _make_outcome(result)

    async def _make_request(self, stored: StoredJob) -> Forward:
        job = stored.job
        body = job.body.encode("latin-1")
        if job.stored:
            try:
                body = await self._platform.get_object(job.stored)
            except StoreError as error:
                raise RefusalError(ErrorKind.STORE_UNAVAILABLE, "job body") from error
        return Forward(
            request=f"job-{stored.job_id}",
            queue=job.queue,
            team=job.team,
            key=job.key,
            remaining=RUN_LIMIT_SECONDS,
            idempotency_key=f"job-{stored.job_id}-{job.attempts}",
            content_type=job.content_type,
            body=body,
            priority=Priority.OVERNIGHT,
            job=True,
        )


def _make_outcome(result: RunResult) -> Outcome:
    return Outcome(
        status=result.status,
        content_type=result.content_type,
        body=result.body.decode("latin-1"),
    )
