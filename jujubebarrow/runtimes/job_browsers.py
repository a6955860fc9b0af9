"""Lists and finds accepted jobs in the store."""

from dataclasses import dataclass

from jujubebarrow.coordinators.job_progresses import PHASE_KEY
from jujubebarrow.identifiers import JobId, PoolId, QueueId, TeamId
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.job_row_keys import CANCELLED_SUFFIX, is_job_name
from jujubebarrow.runtimes.job_watchers import read_job
from jujubebarrow.stores.row_keys import RowKey, TableName, make_key
from jujubebarrow.stores.stores import Store
from jujubebarrow.workloads.job_phases import JobPhase
from jujubebarrow.workloads.job_records import JobRecord


@dataclass(frozen=True, slots=True, kw_only=True)
class JobSummary:
    """Accepted job with its current phase.

    Attributes:
        job: Id of the job.
        queue: Queue that the job was submitted to.
        pool: Pool that runs the job.
        team: Team that submitted the job; empty on a queue open to all.
        phase: Current phase of the job.
        accepted: Unix time in seconds at which the job was accepted.
        tasks: Number of tasks in one occurrence of the job.
    """

    job: JobId
    queue: QueueId
    pool: PoolId
    team: TeamId
    phase: JobPhase
    accepted: float
    tasks: int


class JobBrowser:
    """Reads jobs from the store.

    Args:
        store: Store that holds the jobs.
        metrics: Registry of the counters.
    """

    def __init__(self, store: Store, metrics: MetricsRegistry):
        self._store = store
        self._metrics = metrics

    async def list_jobs(self, queue: QueueId) -> list[JobSummary]:
        """Return all stored jobs of a queue, oldest first.

        Raises:
            StoreError: The store does not answer.
        """
        jobs = await self._read_summaries(queue, "")
        return sorted(jobs, key=lambda job: job.accepted)

    async def find_job(self, queue: QueueId, job: JobId) -> JobSummary | None:
        """Return a job of a queue, or None if the job does not exist.

        Raises:
            StoreError: The store does not answer.
        """
        found = await self._read_summaries(queue, job)
        return next((summary for summary in found if summary.job == job), None)

    async def _read_summaries(self, queue: QueueId, prefix: str) -> list[JobSummary]:
        jobs = await self._store.read(make_key(TableName.JOBS, queue, prefix))
        progress = await self._store.read(make_key(TableName.PROGRESS, queue, prefix))
        phases = {
            RowKey.parse(row.key).name: JobPhase(row.value[PHASE_KEY])
            for row in progress.rows
            if row.value is not None
        }
        names = {RowKey.parse(row.key).name for row in jobs.rows}
        records = [
            read_job(row, self._metrics)
            for row in jobs.rows
            if is_job_name(RowKey.parse(row.key).name)
        ]
        return [
            _summarise(record, phases, record.job + CANCELLED_SUFFIX in names)
            for record in records
            if record is not None
        ]


def _summarise(
    record: JobRecord, phases: dict[str, JobPhase], is_cancelled: bool
) -> JobSummary:
    """Return the summary of a job.

    A job without stored progress has the phase of its compact record, if there is one.
    Otherwise, the job is cancelled if its cancellation is stored, or queued.
    """
    default_phase = JobPhase.CANCELLED if is_cancelled else JobPhase.QUEUED
    return JobSummary(
        job=record.job,
        queue=record.queue,
        pool=record.pool,
        team=record.team,
        phase=record.outcome or phases.get(record.job, default_phase),
        accepted=record.accepted,
        tasks=record.task_count,
    )
