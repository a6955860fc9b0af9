"""Stores the progress of a pool's jobs, one transaction at a time and queue."""

from asyncio import sleep
from collections.abc import Callable
from typing import Any
from uuid import uuid4

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.job_changes import JobChange
from jujubebarrow.coordinators.job_ledgers import JobLedger
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.errors.exceptions import StoreError, TransactionConflictError
from jujubebarrow.identifiers import PoolId, QueueId
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.job_rows import (
    cancellation_row,
    fence_row,
    job_row,
    progress_row,
)
from jujubebarrow.runtimes.task_groups import OwnedTasks
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import ABSENT, Transaction
from jujubebarrow.workloads.identifiers import FenceToken

JOBS_PER_TRANSACTION = 45
"""Two entries a job and one fence, below the store's hundred entries."""
RETRY_SECONDS = 0.1
"""Pause after a transaction without a known outcome."""

TURN_SECONDS = 0.01
"""Pause while another transaction of the queue is under way."""


class DisplacedError(Exception):
    """Another instance owns the pool."""


class ProgressWriter:
    """Writes progress rows under a fence that only this owner can change.

    Each transaction changes the fence row of its queue and pool, so that a late
    transaction of this or an earlier owner finds another revision and fails.

    Args:
        pool: Pool.
        token: Fencing token of the owner.
        coordinator: Decisions on the pool.
        store: Store.
        tasks: Owner of running tasks.
        on_stored: Called after each stored transaction.
        on_displaced: Called when another instance owns the pool.
        clock: Time source.
        log: Log of decisions.
        metrics: Counters.
    """

    def __init__(
        self,
        pool: PoolId,
        token: FenceToken,
        coordinator: PoolCoordinator,
        store: Store,
        tasks: OwnedTasks,
        on_stored: Callable[[], None],
        on_displaced: Callable[[], None],
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        self._pool = pool
        self._token = token
        self._coordinator = coordinator
        self._store = store
        self._tasks = tasks
        self._on_stored = on_stored
        self._on_displaced = on_displaced
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._fences: dict[QueueId, int] = {}
        self._busy: set[QueueId] = set()

    def has_fence(self, queue: QueueId) -> bool:
        """Return whether the fence of a queue is this owner's."""
        return queue in self._fences

    async def take_fence(self, queue: QueueId) -> None:
        """Make this owner the only one that can write a queue's progress.

        Raises:
            DisplacedError: A later owner has the fence.
            StoreError: Unknown.
        """
        key = fence_row(queue, self._pool)
        while True:
            found = await self._store.read(key)
            row = next((row for row in found.rows if row.key == key), None)
            if row is not None and (row.value or {}).get("token", 0) > self._token:
                raise DisplacedError
            transaction = Transaction(
                conditions={key: row.revision if row else ABSENT},
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
        """Begin to store what has changed."""
        for queue in self._coordinator.state.changed_queues():
            if queue in self._fences and queue not in self._busy:
                self._busy.add(queue)
                self._tasks.start(self._write_queue(queue))

    async def _write_queue(self, queue: QueueId) -> None:
        try:
            state = self._coordinator.state
            while changes := state.take_changes(queue, JOBS_PER_TRANSACTION):
                await self._write(queue, changes)
        except DisplacedError:
            self._on_displaced()
        finally:
            self._busy.discard(queue)

    async def _write(self, queue: QueueId, changes: list[JobChange]) -> None:
        writes: dict[str, dict[str, Any] | None] = {}
        absent = {}
        for change in changes:
            job = change.ledger.record.job
            writes[progress_row(queue, job)] = change.document
            if change.starts:
                absent[cancellation_row(queue, job)] = ABSENT
        began = self._clock.monotonic()
        conflicts = await self.commit(queue, writes, absent)
        now = self._clock.monotonic()
        self._metrics.record(queue, "store-progress", now - began)
        if not conflicts:
            self._coordinator.commit_done(changes, now, self._clock.wall())
        else:
            self._coordinator.commit_refused(changes, now)
            for change in changes:
                job = change.ledger.record.job
                if cancellation_row(queue, job) in conflicts:
                    self._coordinator.cancel_job(job)
        self._on_stored()

    async def commit(
        self,
        queue: QueueId,
        writes: dict[str, dict[str, Any] | None],
        absent: dict[str, int],
    ) -> list[str]:
        """Store rows of a queue; return the rows that should not have been there.

        A transaction without a known outcome is repeated until it has one: its
        nonce tells whether it has taken effect.

        Args:
            queue: Queue.
            writes: New value of each row; None deletes it.
            absent: Rows that must not exist.

        Raises:
            DisplacedError: Another instance owns the pool.
        """
        fence = fence_row(queue, self._pool)
        transaction = Transaction(
            conditions={fence: self._fences[queue]} | absent,
            writes=writes | {fence: {"token": self._token}},
            nonce=uuid4().hex,
        )
        while True:
            try:
                self._fences[queue] = await self._store.commit(transaction)
                return []
            except TransactionConflictError as error:
                if fence in error.keys:
                    self._log.write(
                        "fence_lost", pool=self._pool, queue=queue, token=self._token
                    )
                    raise DisplacedError from error
                return error.keys
            except StoreError as error:
                self._metrics.count("retry", "progress")
                self._metrics.count("store_unanswered", str(error)[:40])
            await sleep(RETRY_SECONDS)

    async def delete_closed(self, closed: list[JobLedger]) -> None:
        """Delete the rows of jobs whose outcome has been kept long enough."""
        queues: dict[QueueId, list[JobLedger]] = {}
        for job in closed:
            queues.setdefault(job.record.queue, []).append(job)
        for queue, jobs in queues.items():
            for start in range(0, len(jobs), JOBS_PER_TRANSACTION // 2):
                part = jobs[start : start + JOBS_PER_TRANSACTION // 2]
                await self._delete(queue, part)

    async def _delete(self, queue: QueueId, jobs: list[JobLedger]) -> None:
        writes: dict[str, dict[str, Any] | None] = {}
        for job in jobs:
            name = job.record.job
            writes[job_row(queue, name)] = None
            writes[cancellation_row(queue, name)] = None
            writes[progress_row(queue, name)] = None
        try:
            await self._commit_alone(queue, writes)
        except DisplacedError:
            self._on_displaced()

    async def write_row(self, queue: QueueId, key: str, value: dict[str, Any]) -> None:
        """Write one row of a queue under the fence.

        Raises:
            DisplacedError: Another instance owns the pool.
        """
        await self._commit_alone(queue, {key: value})

    async def _commit_alone(
        self, queue: QueueId, writes: dict[str, dict[str, Any] | None]
    ) -> None:
        while queue in self._busy:
            await sleep(TURN_SECONDS)
        self._busy.add(queue)
        try:
            await self.commit(queue, writes, {})
        finally:
            self._busy.discard(queue)
        self.write_changes()
