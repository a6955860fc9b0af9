"""Loads the stored jobs of a pool when an instance takes over the pool."""

from asyncio import gather

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.errors.exceptions import QueueLoadError, StoreError
from jujubebarrow.identifiers import JobId, PoolId, QueueId
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.job_row_keys import (
    CANCELLED_SUFFIX,
    USED_SUFFIX,
    is_job_name,
    make_fence_key,
    make_use_key,
    parse_end_name,
)
from jujubebarrow.runtimes.job_watchers import read_job
from jujubebarrow.runtimes.progress_writers import ProgressWriter
from jujubebarrow.stores.row_keys import RowKey, TableName, make_key
from jujubebarrow.stores.rows import Row
from jujubebarrow.stores.stores import Store
from jujubebarrow.workloads.job_records import JobRecord

CONCURRENT_QUEUES_LIMIT = 8
"""Most queues read concurrently in a takeover; low enough that other requests still
find a free connection to the store."""
AGE_LIMIT_SECONDS = 60.0
"""Greatest age that a takeover gives to a job, since clocks differ and may jump; any
job of that age is late."""


class PoolLoader:
    """Loads the stored jobs of a pool, protected by the fences of their queues.

    Args:
        pool: Id of the owned pool.
        coordinator: Makes the scheduling decisions of the pool.
        writer: Acquires the fences of the queues.
        store: Store shared by all instances.
        clock: Time source.
        metrics: Registry of the counters.
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

    async def load_queues(self, loaded: set[QueueId]) -> None:
        """Load all queues that have jobs of this pool, several at a time.

        Args:
            loaded: Queues to leave out. Each queue that has been loaded is added, so
                that a call after a failure continues with the other queues.

        Raises:
            DisplacedError: An owner with a higher token has a fence.
            QueueLoadError: A queue could not be loaded.
            StoreError: The queues could not be listed.
        """
        names = await self._store.list_partitions(TableName.JOBS.value)
        queues = [QueueId(name) for name in names if name not in loaded]
        for start in range(0, len(queues), CONCURRENT_QUEUES_LIMIT):
            batch = queues[start : start + CONCURRENT_QUEUES_LIMIT]
            results = await gather(
                *(self.load_queue(queue, skip_if_empty=True) for queue in batch),
                return_exceptions=True,
            )
            loaded.update(
                queue
                for queue, result in zip(batch, results, strict=True)
                if result is None
            )
            _raise_first(results)

    async def load_queue(self, queue: QueueId, skip_if_empty: bool) -> None:
        """Read a queue's jobs and add those of this pool to the coordinator.

        Args:
            queue: Queue to load.
            skip_if_empty: Whether to acquire no fence for a queue without a job of this
                pool.

        Raises:
            DisplacedError: An owner with a higher token has the fence.
            QueueLoadError: A call to the store failed.
        """
        try:
            await self._load_queue(queue, skip_if_empty)
        except StoreError as error:
            raise QueueLoadError(queue, str(error)) from error

    async def _load_queue(self, queue: QueueId, skip_if_empty: bool) -> None:
        if not self._writer.has_fence(queue):
            if skip_if_empty and not await self._may_have_jobs(queue):
                return
            await self._writer.acquire_fence(queue)
        # Until this owner acquired the fence, the former owner could still write.
        jobs = await self._read(TableName.JOBS, queue)
        records = self._find_pool_jobs(jobs)
        progress = {
            RowKey.parse(row.key).name: row.value
            for row in await self._read(TableName.PROGRESS, queue)
        }
        now = self._clock.monotonic()
        wall_time = self._clock.wall()
        for record in records:
            # The clocks of two instances differ and may jump, so the computed age may
            # be negative or far too great.
            age = min(max(0.0, wall_time - record.accepted), AGE_LIMIT_SECONDS)
            self._coordinator.add_job(record, progress.get(record.job), now, age)
        for row in jobs:
            name = RowKey.parse(row.key).name
            if name.endswith(CANCELLED_SUFFIX):
                job = JobId(name.removesuffix(CANCELLED_SUFFIX))
                self._coordinator.cancel_job(job)
            task = parse_end_name(name)
            if task is not None:
                self._coordinator.record_done_elsewhere(task)

    async def _may_have_jobs(self, queue: QueueId) -> bool:
        """Return whether a queue may have jobs of this pool, without reading the jobs.

        Reads the jobs only if no pool is marked as having had a job of the queue: an
        earlier build has accepted the queue's jobs.
        """
        keys = {row.key for row in await self._read(TableName.FENCES, queue)}
        own_keys = (make_fence_key(queue, self._pool), make_use_key(queue, self._pool))
        if not keys.isdisjoint(own_keys):
            return True
        if any(key.endswith(USED_SUFFIX) for key in keys):
            return False
        return bool(self._find_pool_jobs(await self._read(TableName.JOBS, queue)))

    def _find_pool_jobs(self, rows: list[Row]) -> list[JobRecord]:
        records = [
            read_job(row, self._metrics)
            for row in rows
            if is_job_name(RowKey.parse(row.key).name)
        ]
        return [
            record
            for record in records
            if record is not None and record.pool == self._pool
        ]

    async def _read(self, table: TableName, queue: QueueId) -> list[Row]:
        found = await self._store.read(make_key(table, queue, ""))
        return found.rows


def _raise_first(results: list[BaseException | None]) -> None:
    """Raise the first error, if any; a failed call to the store only after others."""
    errors = [result for result in results if result is not None]
    if errors:
        raise min(errors, key=lambda error: isinstance(error, StoreError))
