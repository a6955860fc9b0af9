"""Reads the jobs of a pool when it is taken over."""

from asyncio import gather

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.identifiers import JobId, PoolId, QueueId
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.job_followers import read_job
from jujubebarrow.runtimes.job_rows import CANCELLED_SUFFIX
from jujubebarrow.runtimes.progress_writers import ProgressWriter
from jujubebarrow.stores.row_keys import RowKey, TableName, make_key
from jujubebarrow.stores.rows import Row
from jujubebarrow.stores.stores import Store
from jujubebarrow.workloads.job_records import JobRecord

QUEUES_AT_A_TIME = 8
"""Queues read at a time in a take-over, a part of the store's connections."""
OLDEST = 60.0
"""Greatest age in seconds that a job is given at a take-over; any job is late by
then."""


class PoolLoader:
    """Takes the stored jobs of a pool over, under the fences of their queues.

    Args:
        pool: Pool.
        coordinator: Decisions on the pool.
        writer: Owner of the fences.
        store: Store.
        clock: Time source.
        metrics: Counters.
    """

    def __init__(
        self,
        pool: PoolId,
        coordinator: PoolCoordinator,
        writer: ProgressWriter,
        store: Store,
        clock: Clock,
        metrics: MetricsRegistry,
    ):
        self._pool = pool
        self._coordinator = coordinator
        self._writer = writer
        self._store = store
        self._clock = clock
        self._metrics = metrics

    async def load_queues(self) -> None:
        """Read all queues that have jobs, several at a time."""
        names = await self._store.list_partitions(TableName.JOBS.value)
        for start in range(0, len(names), QUEUES_AT_A_TIME):
            part = names[start : start + QUEUES_AT_A_TIME]
            await gather(
                *(self.load_queue(QueueId(name), only_own=True) for name in part)
            )

    async def load_queue(self, queue: QueueId, only_own: bool) -> None:
        """Read a queue's jobs and take over those of this pool.

        Args:
            queue: Queue.
            only_own: Leave a queue alone that has no job of this pool.
        """
        jobs = await self._read(TableName.JOBS, queue)
        records = self._find_own(jobs)
        if only_own and not records:
            return
        if not self._writer.has_fence(queue):
            await self._writer.take_fence(queue)
            # What the former owner wrote last may be newer than the first read.
            jobs = await self._read(TableName.JOBS, queue)
            records = self._find_own(jobs)
        progress = {
            RowKey.parse(row.key).name: row.value
            for row in await self._read(TableName.PROGRESS, queue)
        }
        now = self._clock.monotonic()
        wall = self._clock.wall()
        for record in records:
            # Clocks of two instances differ, and may jump.
            age = min(max(0.0, wall - record.accepted), OLDEST)
            self._coordinator.add_job(record, progress.get(record.job), now, age)
        for row in jobs:
            name = RowKey.parse(row.key).name
            if name.endswith(CANCELLED_SUFFIX):
                job = JobId(name.removesuffix(CANCELLED_SUFFIX))
                self._coordinator.cancel_job(job)

    def _find_own(self, rows: list[Row]) -> list[JobRecord]:
        records = [
            read_job(row, self._metrics)
            for row in rows
            if not row.key.endswith(CANCELLED_SUFFIX)
        ]
        return [
            record
            for record in records
            if record is not None and record.pool == self._pool
        ]

    async def _read(self, table: TableName, queue: QueueId) -> list[Row]:
        found = await self._store.read(make_key(table, queue, ""))
        return found.rows
