"""Jobs in the platform's table."""

from uuid import uuid4

from jujubebarrow.claims.claims import Outcome, digest_body
from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.errors.exceptions import RefusalError, StoreError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.jobs.job_states import JobState
from jujubebarrow.jobs.jobs import CLOSED_PREFIX, OPEN_PREFIX, Job
from jujubebarrow.jobs.stored_jobs import StoredJob
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.peers.forward_messages import Forward
from jujubebarrow.peers.identities import PeerIdentity
from jujubebarrow.services.commit_batchers import CommitBatcher
from jujubebarrow.services.explanations import ExplanationLog
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import ABSENT, Transaction

INLINE_BODY_LIMIT = 4096
STORE_RETRY_SECONDS = 1.0


class JobStore:
    """Reads and writes jobs; an open and a closed row never stand together.

    Args:
        identity: This process.
        platform: Table and object store.
        batcher: Group commit.
        clock: Time source.
        metrics: Where states are counted.
        explanations: Where states are recorded.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        platform: Store,
        batcher: CommitBatcher,
        clock: Clock,
        metrics: MetricsRegistry,
        explanations: ExplanationLog,
    ):
        self._identity = identity
        self._platform = platform
        self._batcher = batcher
        self._clock = clock
        self._metrics = metrics
        self._explanations = explanations

    async def create(self, name: str, job: Job) -> StoredJob:
        """Store a new job.

        Raises:
            TransactionConflictError: The job exists, open or closed.
            StoreError: Unknown whether it was stored.
        """
        # A late write must not open a job again that has been closed.
        revision = await self._batcher.write(
            OPEN_PREFIX + name,
            job.model_dump(mode="json"),
            ABSENT,
            (CLOSED_PREFIX + name,),
        )
        return StoredJob(job_id=name, job=job, revision=revision)

    async def make(self, request: Forward) -> Job:
        """Return a job for a request, after its large body has been stored.

        Raises:
            RefusalError: The body could not be stored.
        """
        body, stored = request.body.decode("latin-1"), ""
        if len(body) > INLINE_BODY_LIMIT:
            body, stored = "", uuid4().hex
            try:
                await self._platform.put_object(stored, request.body)
            except StoreError as error:
                raise RefusalError(
                    ErrorKind.STORE_UNAVAILABLE, "job", retry_after=STORE_RETRY_SECONDS
                ) from error
        return Job(
            team=request.team,
            key=request.key,
            queue=request.queue,
            content_type=request.content_type,
            body=body,
            stored=stored,
            body_digest=digest_body(request.body),
            created=self._clock.wall(),
            runner=self._identity.instance,
            incarnation=self._identity.incarnation,
        )

    async def read(self, prefix: str, name: str) -> StoredJob | None:
        """Return an open or a closed job, by the prefix of its row.

        Raises:
            RefusalError: The platform does not answer.
        """
        try:
            rows = await self._platform.read(prefix + name)
        except StoreError as error:
            raise RefusalError(
                ErrorKind.STORE_UNAVAILABLE, "job", retry_after=STORE_RETRY_SECONDS
            ) from error
        if not rows.rows:
            return None
        row = rows.rows[0]
        job = Job.model_validate(row.value)
        return StoredJob(job_id=name, job=job, revision=row.revision)

    async def find(self, name: str) -> StoredJob | None:
        """Return a job, open or closed.

        Raises:
            RefusalError: The platform does not answer.
        """
        # A job closes in one transaction, so that one of the readings finds it.
        found = await self.read(OPEN_PREFIX, name)
        return found or await self.read(CLOSED_PREFIX, name)

    async def list_open(self) -> dict[str, Job]:
        """Return all jobs that are not finished."""
        try:
            rows = await self._platform.read(OPEN_PREFIX)
        except StoreError as error:
            raise RefusalError(ErrorKind.STORE_UNAVAILABLE, "jobs") from error
        return {
            row.key.removeprefix(OPEN_PREFIX): Job.model_validate(row.value)
            for row in rows.rows
        }

    async def write(self, stored: StoredJob, update: dict[str, object]) -> StoredJob:
        """Change fields of an open job that nobody else has changed.

        Raises:
            TransactionConflictError: The job has changed.
            StoreError: Unknown whether the change was made.
        """
        job = stored.job.model_copy(update=update)
        revision = await self._batcher.write(
            OPEN_PREFIX + stored.job_id, job.model_dump(mode="json"), stored.revision
        )
        return StoredJob(job_id=stored.job_id, job=job, revision=revision)

    async def close(
        self,
        stored: StoredJob,
        state: JobState,
        reason: str,
        outcome: Outcome | None = None,
    ) -> Job:
        """Close a job that nobody else has changed.

        Args:
            stored: Open job.
            state: Final state.
            reason: Sentence on it.
            outcome: Answer of the upstream.

        Raises:
            TransactionConflictError: The job has changed.
            StoreError: Unknown whether it was closed.
        """
        update = {"state": state, "reason": reason, "outcome": outcome, "body": ""}
        job = stored.job.model_copy(update=update)
        open_key = OPEN_PREFIX + stored.job_id
        closed_key = CLOSED_PREFIX + stored.job_id
        transaction = Transaction(
            conditions={open_key: stored.revision, closed_key: 0},
            writes={open_key: None, closed_key: job.model_dump(mode="json")},
            nonce=uuid4().hex,
        )
        await self._platform.commit(transaction)
        self._metrics.count("job", state.value)
        self._explanations.add(stored.job_id, f"{state.value}: {reason}")
        return job
