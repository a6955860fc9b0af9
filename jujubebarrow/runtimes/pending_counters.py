"""Counts the pending jobs of a queue, which have no started task yet."""

from asyncio import Lock
from collections import defaultdict

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.job_progresses import BEGUN_KEY, PHASE_KEY
from jujubebarrow.errors.exceptions import StoreError
from jujubebarrow.fleets.queue_routes import QueueRoute
from jujubebarrow.identifiers import PoolId, QueueId
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.direct_counts import DirectCount
from jujubebarrow.runtimes.job_row_keys import (
    CANCELLED_SUFFIX,
    USED_SUFFIX,
    is_job_name,
)
from jujubebarrow.runtimes.load_reports import AT, PENDING
from jujubebarrow.stores.row_keys import RowKey, TableName, make_key
from jujubebarrow.stores.rows import Row, RowSet
from jujubebarrow.stores.stores import Store
from jujubebarrow.workloads.job_phases import JobPhase
from jujubebarrow.workloads.job_records import OUTCOME_KEY

REPORT_AGE_LIMIT_SECONDS = 1.8
"""Age up to which a report is used; callers are promised numbers of at most 2 s."""
DIRECT_COUNT_AGE_LIMIT_SECONDS = 1.0
"""Age up to which a direct count is reused, since it reads all rows of the queue."""


class PendingCounter:
    """Counts a queue's pending jobs from the reports of the pools' owners.

    Counts the rows of the jobs directly if a report is missing or not recent, because
    the pool then has no owner that could count its jobs.

    Args:
        store: Store that holds the reports and the jobs.
        clock: Time source.
        log: Decision log.
        metrics: Registry of the counters.
    """

    def __init__(
        self, store: Store, clock: Clock, log: DecisionLog, metrics: MetricsRegistry
    ):
        self._store = store
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._locks: defaultdict[QueueId, Lock] = defaultdict(Lock)
        self._direct_counts: dict[QueueId, DirectCount] = {}
        self._logged_queues: set[QueueId] = set()

    async def count(self, route: QueueRoute) -> int:
        """Return the number of a queue's accepted jobs without a started task.

        Raises:
            StoreError: The store does not answer.
        """
        queue = route.queue
        found = await self._store.read(make_key(TableName.LOADS, queue, ""))
        ages = _find_outdated_reports(found, route.pool)
        if not ages:
            self._logged_queues.discard(queue)
            return sum(
                (row.value or {})[PENDING] for row in found.rows if not _is_mark(row)
            )
        pending = await self._count_directly(queue)
        self._metrics.count("pending_counted", queue)
        if queue not in self._logged_queues:
            self._logged_queues.add(queue)
            known_ages = [age for age in ages.values() if age is not None]
            self._log.write(
                "pending_counted",
                queue=queue,
                pools=sorted(ages),
                age=round(max(known_ages), 3) if known_ages else None,
                pending=pending,
            )
        return pending

    async def _count_directly(self, queue: QueueId) -> int:
        """Count the queue's rows, or wait for a count that another caller has begun."""
        asked_at = self._clock.monotonic()
        async with self._locks[queue]:
            recorded = self._direct_counts.get(queue)
            now = self._clock.monotonic()
            if recorded is not None and recorded.is_usable(
                asked_at, now, DIRECT_COUNT_AGE_LIMIT_SECONDS
            ):
                return recorded.get_pending()
            pending: int | StoreError
            try:
                pending = await self._read_and_count(queue)
            except StoreError as error:
                pending = error
            count = DirectCount(now, self._clock.monotonic(), pending)
            self._direct_counts[queue] = count
            return count.get_pending()

    async def _read_and_count(self, queue: QueueId) -> int:
        jobs = await self._store.read(make_key(TableName.JOBS, queue, ""))
        names = {
            RowKey.parse(row.key).name
            for row in jobs.rows
            if OUTCOME_KEY not in (row.value or {})
        }
        waiting = {
            name
            for name in names
            if is_job_name(name) and name + CANCELLED_SUFFIX not in names
        }
        if not waiting:
            return 0
        progress = await self._store.read(make_key(TableName.PROGRESS, queue, ""))
        begun = {RowKey.parse(row.key).name for row in progress.rows if _has_begun(row)}
        return len(waiting - begun)


def _has_begun(row: Row) -> bool:
    document = row.value or {}
    phase = JobPhase(document.get(PHASE_KEY, JobPhase.QUEUED))
    return phase.is_final or document.get(BEGUN_KEY, False)


def _is_mark(row: Row) -> bool:
    """Return whether a row of the loads marks a pool's report as expected."""
    return row.key.endswith(USED_SUFFIX)


def _find_outdated_reports(found: RowSet, pool: PoolId) -> dict[str, float | None]:
    """Return the age in seconds of each report that is missing or not recent.

    Args:
        found: Reports of the pools that have run jobs of the queue, and marks of the
            pools that have had jobs of the queue and may not have reported yet.
        pool: Pool that runs new jobs of the queue.
    """
    ages: dict[str, float | None] = {pool: None}
    for row in found.rows:
        document = row.value or {}
        name = RowKey.parse(row.key).name
        if _is_mark(row):
            ages.setdefault(name.removesuffix(USED_SUFFIX), None)
            continue
        ages[name] = found.clock - document[AT] if AT in document else None
    return {
        name: age
        for name, age in ages.items()
        if age is None or abs(age) > REPORT_AGE_LIMIT_SECONDS
    }
