"""Stores the progress of a pool's jobs, one transaction at a time for each queue."""

from asyncio import sleep
from collections.abc import Callable
from typing import Any
from uuid import uuid4

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.job_changes import JobChange
from jujubebarrow.coordinators.job_progresses import JobProgress
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.errors.exceptions import (
    InvalidCallError,
    StoreError,
    TransactionConflictError,
)
from jujubebarrow.identifiers import PoolId, QueueId
from jujubebarrow.links.link_backlogs import LinkBacklog
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.job_row_keys import (
    make_cancellation_key,
    make_end_key,
    make_fence_key,
    make_job_key,
    make_progress_key,
)
from jujubebarrow.runtimes.load_reports import LoadReports
from jujubebarrow.runtimes.owned_tasks import OwnedTasks
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import ABSENT_REVISION, Transaction
from jujubebarrow.workloads.identifiers import FenceToken

JOBS_PER_TRANSACTION_LIMIT = 45
"""Most jobs in one transaction. Each has its progress and at most one other entry: the
condition that a started job is not cancelled, or the compact row of a closed job, which
has no start. With the condition on the fence, its new value and the report of pending
jobs, these are 93 of the store's 100 entries."""
RETRY_SECONDS = 0.1
"""Seconds before a transaction with unknown outcome is repeated."""

SPACING_LIMIT_SECONDS = 0.12
"""Longest time between two transactions of a queue while the link is busy; short
compared with the duration of a task."""
SPACING_FACTOR = 3.0
"""Time between two transactions in relation to the wait on the link."""
TRANSACTION_POLL_SECONDS = 0.01
"""Seconds between two checks whether another transaction of the queue has ended."""


class DisplacedError(Exception):
    """Another instance has superseded this one as the owner of the pool."""


class ProgressWriter:
    """Writes the rows of a pool's jobs, protected by a fence.

    A fence is a row that only the present owner can change. Each transaction changes
    the fence row of its queue and pool, so that a delayed transaction of this or an
    earlier owner finds another revision and fails.

    Args:
        pool: Id of the owned pool.
        token: Fencing token of the pool's owner.
        coordinator: Makes the scheduling decisions of the pool.
        reports: Creates the reports of pending jobs, which transactions renew.
        store: Store shared by all instances.
        backlog: Estimates what waits on this instance's link.
        tasks: Runs background tasks until the owner closes.
        on_outcome: Called after each transaction with changed jobs, whether the store
            applied or refused the transaction.
        on_superseded: Called when another instance has taken over the pool.
        clock: Time source.
        log: Decision log.
        metrics: Registry of the counters and latencies.
    """

    def __init__(
        self,
        pool: PoolId,
        token: FenceToken,
        coordinator: PoolCoordinator,
        reports: LoadReports,
        store: Store,
        backlog: LinkBacklog,
        tasks: OwnedTasks,
        on_outcome: Callable[[], None],
        on_superseded: Callable[[], None],
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        self._pool = pool
        self._token = token
        self._coordinator = coordinator
        self._reports = reports
        self._store = store
        self._backlog = backlog
        self._tasks = tasks
        self._on_outcome = on_outcome
        self._on_superseded = on_superseded
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._fences: dict[QueueId, int] = {}
        self._queues_in_transaction: set[QueueId] = set()
        # Time at which each transaction without an outcome was first sent.
        self._sent_at: dict[QueueId, float] = {}

    def has_fence(self, queue: QueueId) -> bool:
        """Return whether this owner has acquired the fence of a queue."""
        return queue in self._fences

    @property
    def unanswered_seconds(self) -> float:
        """Longest time for which a transaction has had no outcome."""
        now = self._clock.monotonic()
        return max((now - at for at in self._sent_at.values()), default=0.0)

    async def acquire_fence(self, queue: QueueId) -> None:
        """Acquire the fence of a queue, which stops all writes by earlier owners.

        Raises:
            DisplacedError: An owner with a higher token has the fence.
            StoreError: Whether the fence was acquired is unknown.
        """
        key = make_fence_key(queue, self._pool)
        while True:
            found = await self._store.read(key)
            row = next((row for row in found.rows if row.key == key), None)
            if row is not None and (row.value or {}).get("token", 0) > self._token:
                raise DisplacedError
            transaction = Transaction(
                conditions={key: row.revision if row else ABSENT_REVISION},
                writes={key: {"token": self._token}},
                nonce=uuid4().hex,
            )
            try:
                self._fences[queue] = await self._store.commit(transaction)
            except TransactionConflictError:
                self._metrics.count("retry", "fence")
                continue
            return

    def write_changes(self) -> None:
        """Start to store the changed jobs of each queue.

        Leaves out queues whose fence this owner has not acquired and queues with an
        open transaction.
        """
        for queue in self._coordinator.state.changed_queues():
            if queue in self._fences and queue not in self._queues_in_transaction:
                self._queues_in_transaction.add(queue)
                self._tasks.start(self._write_queue(queue))

    async def _write_queue(self, queue: QueueId) -> None:
        try:
            state = self._coordinator.state
            while changes := state.pop_changes(queue, JOBS_PER_TRANSACTION_LIMIT):
                await self._write(queue, changes)
                if spacing := self._compute_spacing():
                    await sleep(spacing)
        except DisplacedError:
            self._on_superseded()
        finally:
            self._queues_in_transaction.discard(queue)

    def _compute_spacing(self) -> float:
        """Return the seconds until the next transaction, longer on a busy link.

        A transaction contains the whole progress of each changed job, so that changes
        of the same job that share a transaction take less room on the link.
        """
        wait = self._backlog.wait_seconds
        return min(SPACING_LIMIT_SECONDS, SPACING_FACTOR * wait)

    async def _write(self, queue: QueueId, changes: list[JobChange]) -> None:
        writes: dict[str, dict[str, Any] | None] = {}
        absent_rows = {}
        for change in changes:
            job = change.progress.record.job
            writes[make_progress_key(queue, job)] = change.document
            if change.runs_to_start:
                absent_rows[make_cancellation_key(queue, job)] = ABSENT_REVISION
            if change.outcome is not None:
                record = change.progress.record.make_compact(change.outcome)
                writes[make_job_key(queue, job)] = record.to_document()
        started_at = self._clock.monotonic()
        try:
            conflicts = await self.commit(queue, writes, absent_rows)
        except InvalidCallError as error:
            await self._handle_refusal(queue, changes, error)
            return
        now = self._clock.monotonic()
        self._metrics.record_latency(queue, "store-progress", now - started_at)
        if not conflicts:
            self._coordinator.handle_stored_changes(changes, now, self._clock.wall())
        else:
            self._coordinator.handle_refused_changes(changes, now)
            for change in changes:
                job = change.progress.record.job
                if make_cancellation_key(queue, job) in conflicts:
                    self._coordinator.cancel_job(job)
        self._on_outcome()

    async def _handle_refusal(
        self, queue: QueueId, changes: list[JobChange], error: InvalidCallError
    ) -> None:
        """Store the changes of a refused transaction in smaller ones.

        Only the job whose progress the store refuses by itself is set aside.
        """
        self._metrics.count("store_refused", queue)
        if len(changes) == 1:
            now = self._clock.monotonic()
            self._coordinator.hold_refused_change(changes[0], str(error), now)
            self._on_outcome()
            return
        self._log.write(
            "transaction_divided", queue=queue, jobs=len(changes), detail=str(error)
        )
        middle = len(changes) // 2
        await self._write(queue, changes[:middle])
        await self._write(queue, changes[middle:])

    async def commit(
        self,
        queue: QueueId,
        writes: dict[str, dict[str, Any] | None],
        absent_rows: dict[str, int],
    ) -> list[str]:
        """Store rows of a queue, or return the keys in absent_rows that do exist.

        The transaction also renews the queue's report of pending jobs if it is due.

        A transaction with unknown outcome is repeated until the outcome is known: the
        store recognises a transaction that has taken effect by its nonce.

        Args:
            queue: Queue whose fence protects the rows.
            writes: New value of each row; None deletes the row.
            absent_rows: Keys of the rows that must not exist, each with
                ABSENT_REVISION.

        Raises:
            DisplacedError: Another instance has taken over the pool.
            InvalidCallError: The store refuses the transaction for its content.
        """
        fence = make_fence_key(queue, self._pool)
        counted_at = self._clock.monotonic()
        report = self._reports.make_rows(queue)
        transaction = Transaction(
            conditions={fence: self._fences[queue]} | absent_rows,
            writes=writes | report | {fence: {"token": self._token}},
            nonce=uuid4().hex,
        )
        self._sent_at[queue] = counted_at
        try:
            conflicts = await self._commit_until_answered(queue, transaction)
        finally:
            del self._sent_at[queue]
        if fence in conflicts:
            self._log.write(
                "fence_lost", pool=self._pool, queue=queue, token=self._token
            )
            raise DisplacedError
        if report and not conflicts:
            self._reports.record_stored(queue, counted_at)
        return conflicts

    async def _commit_until_answered(
        self, queue: QueueId, transaction: Transaction
    ) -> list[str]:
        is_uncertain = False
        while True:
            try:
                self._fences[queue] = await self._store.commit(transaction)
                return []
            except TransactionConflictError as error:
                return error.keys
            except InvalidCallError:
                # A repeat would be refused as well and hold up all jobs of the queue.
                if not is_uncertain or not await self._is_stored(queue, transaction):
                    raise
                return []
            except StoreError as error:
                is_uncertain = is_uncertain or error.may_have_applied
                self._metrics.count("retry", "progress")
                self._metrics.count("store_unanswered", str(error)[:40])
            await sleep(RETRY_SECONDS)

    async def _is_stored(self, queue: QueueId, transaction: Transaction) -> bool:
        """Return whether an earlier attempt at a refused transaction is stored.

        If it is stored later, it changes the fence, so that the next transaction fails.
        """
        key = make_fence_key(queue, self._pool)
        while True:
            try:
                found = await self._store.read(key)
                break
            except StoreError:
                self._metrics.count("retry", "progress")
                await sleep(RETRY_SECONDS)
        for row in found.rows:
            if row.key == key and row.nonce == transaction.nonce:
                self._fences[queue] = row.revision
                return True
        return False

    async def delete_closed(self, closed_jobs: list[JobProgress]) -> None:
        """Delete the rows of closed jobs whose retention time has passed."""
        queues: dict[QueueId, list[JobProgress]] = {}
        for progress in closed_jobs:
            queues.setdefault(progress.record.queue, []).append(progress)
        for queue, jobs in queues.items():
            for start in range(0, len(jobs), JOBS_PER_TRANSACTION_LIMIT // 2):
                batch = jobs[start : start + JOBS_PER_TRANSACTION_LIMIT // 2]
                await self._delete(queue, batch)

    async def _delete(self, queue: QueueId, jobs: list[JobProgress]) -> None:
        end_keys = [
            make_end_key(queue, task)
            for progress in jobs
            for task in progress.reported_ends
        ]
        writes: dict[str, dict[str, Any] | None] = {}
        for progress in jobs:
            job = progress.record.job
            writes[make_job_key(queue, job)] = None
            writes[make_cancellation_key(queue, job)] = None
            writes[make_progress_key(queue, job)] = None
        try:
            for start in range(0, len(end_keys), JOBS_PER_TRANSACTION_LIMIT):
                batch = end_keys[start : start + JOBS_PER_TRANSACTION_LIMIT]
                await self._commit_exclusively(queue, dict.fromkeys(batch))
            await self._commit_exclusively(queue, writes)
        except DisplacedError:
            self._on_superseded()

    async def write_report(self, queue: QueueId) -> None:
        """Renew a queue's report of pending jobs if it is due.

        The transaction also stores deferred changes. Does nothing without the queue's
        fence or during another transaction of the queue.
        """
        if queue not in self._fences or queue in self._queues_in_transaction:
            return
        if not self._reports.make_rows(queue):
            return
        self._queues_in_transaction.add(queue)
        try:
            state = self._coordinator.state
            changes = state.pop_all_changes(queue, JOBS_PER_TRANSACTION_LIMIT)
            if changes:
                await self._write(queue, changes)
            else:
                await self.commit(queue, {}, {})
        except DisplacedError:
            self._on_superseded()
        finally:
            self._queues_in_transaction.discard(queue)
        self.write_changes()

    async def _commit_exclusively(
        self, queue: QueueId, writes: dict[str, dict[str, Any] | None]
    ) -> None:
        while queue in self._queues_in_transaction:
            await sleep(TRANSACTION_POLL_SECONDS)
        self._queues_in_transaction.add(queue)
        try:
            await self.commit(queue, writes, {})
        finally:
            self._queues_in_transaction.discard(queue)
        self.write_changes()
