"""Reports ends of tasks to the owners of the pools that the jobs belong to.

A worker that has moved may execute a start of its former pool, whose owner does not
hear of the worker any more and would start the task again.
"""

from asyncio import sleep
from uuid import uuid4

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.foreign_ends import ForeignEnd
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.errors.exceptions import StoreError, TransactionConflictError
from jujubebarrow.identifiers import JobId, QueueId
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.job_row_keys import make_end_key, make_job_key
from jujubebarrow.runtimes.job_watchers import read_job
from jujubebarrow.runtimes.owned_tasks import OwnedTasks
from jujubebarrow.runtimes.owner_hooks import OwnerHooks
from jujubebarrow.stores.row_keys import TableName
from jujubebarrow.stores.rows import Row
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import Transaction

RETRY_SECONDS = 0.2
"""Seconds before a failed report is repeated."""


class ForeignEndReporter:
    """Stores the ends of tasks of unknown jobs beside the rows of the jobs.

    The ends are acknowledged to the workers afterwards.

    Args:
        coordinator: Makes the scheduling decisions of the pool.
        store: Store shared by all instances.
        tasks: Background tasks of the pool's owner.
        hooks: Callbacks into the pool's owner.
        clock: Time source.
        log: Decision log.
        metrics: Registry of the counters.
    """

    def __init__(
        self,
        coordinator: PoolCoordinator,
        store: Store,
        tasks: OwnedTasks,
        hooks: OwnerHooks,
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        self._coordinator = coordinator
        self._store = store
        self._tasks = tasks
        self._hooks = hooks
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._ends: list[ForeignEnd] = []
        self._is_reporting = False

    def report_ends(self) -> None:
        """Report the ends that have been listed since the last call."""
        self._ends += self._coordinator.pop_foreign_ends()
        if self._ends and not self._is_reporting:
            self._is_reporting = True
            self._tasks.start(self._report_all())

    async def _report_all(self) -> None:
        try:
            while self._ends:
                await self._report(self._ends[0])
                self._coordinator.handle_recorded_end(self._ends.pop(0).finished_run)
                self._hooks.on_change()
        finally:
            self._is_reporting = False

    async def _report(self, end: ForeignEnd) -> None:
        while True:
            try:
                await self._store_end(end)
                return
            except TransactionConflictError:
                # The job has been closed meanwhile.
                self._metrics.count("retry", "foreign-end")
            except StoreError as error:
                self._metrics.count("retry", "foreign-end")
                self._metrics.count("store_unanswered", str(error)[:40])
            await sleep(RETRY_SECONDS)

    async def _store_end(self, end: ForeignEnd) -> None:
        found = await self._find_open_job(end.task.job)
        if found is None:
            return
        queue, row = found
        transaction = Transaction(
            conditions={row.key: row.revision},
            writes={make_end_key(queue, end.task): {"at": self._clock.wall()}},
            nonce=uuid4().hex,
        )
        await self._store.commit(transaction)
        self._log.write(
            "foreign_end_stored",
            task=str(end.task),
            worker=end.finished_run.incarnation[0],
            queue=queue,
        )

    async def _find_open_job(self, job: JobId) -> tuple[QueueId, Row] | None:
        """Return the queue and the row of a job of another pool that is not closed."""
        for name in await self._store.list_partitions(TableName.JOBS.value):
            queue = QueueId(name)
            key = make_job_key(queue, job)
            found = await self._store.read(key)
            row = next((row for row in found.rows if row.key == key), None)
            record = read_job(row, self._metrics) if row is not None else None
            if row is None or record is None:
                continue
            is_foreign = record.pool != self._coordinator.state.pool
            return (queue, row) if is_foreign and record.outcome is None else None
        return None
