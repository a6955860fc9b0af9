"""Group commit of single-row writes."""

from asyncio import Future, Task, create_task, get_running_loop
from collections import deque
from dataclasses import dataclass
from typing import Any
from uuid import uuid4

from jujubebarrow.errors.exceptions import StoreError, TransactionConflictError
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import ABSENT_REVISION, Transaction


@dataclass(slots=True, eq=False)
class _Write:
    key: str
    value: dict[str, Any] | None
    revision: int
    absent_keys: tuple[str, ...]
    result: "Future[int]"

    @property
    def conditions(self) -> dict[str, int]:
        return {self.key: self.revision} | dict.fromkeys(
            self.absent_keys, ABSENT_REVISION
        )


class CommitBatcher:
    """Combines concurrent conditional writes and commits one transaction at a time.

    Args:
        platform: Store that commits the transactions.
        batch_limit: Maximum number of rows written in one transaction.
        metrics: Registry of the counters.
    """

    def __init__(self, platform: Store, batch_limit: int, metrics: MetricsRegistry):
        self._platform = platform
        self._batch_limit = batch_limit
        self._metrics = metrics
        self._pending_writes: deque[_Write] = deque()
        self._task: Task[None] | None = None

    async def write(
        self,
        key: str,
        value: dict[str, Any] | None,
        revision: int,
        absent_keys: tuple[str, ...] = (),
    ) -> int:
        """Write one row if the row still has the expected revision.

        Args:
            key: Key of the row.
            value: New value; None deletes the row.
            revision: Revision that the row must have; 0 if the row must not exist.
            absent_keys: Keys of other rows that must not exist.

        Returns:
            Revision of the committed transaction.

        Raises:
            TransactionConflictError: The row has another revision, or one of the other
                rows exists.
            StoreError: The store failed; the write may have taken effect.
        """
        result: Future[int] = get_running_loop().create_future()
        self._pending_writes.append(_Write(key, value, revision, absent_keys, result))
        if self._task is None or self._task.done():
            self._task = create_task(self._run())
        return await result

    async def _run(self) -> None:
        while self._pending_writes:
            await self._commit(self._pop_batch())

    def _pop_batch(self) -> list[_Write]:
        batch: dict[str, _Write] = {}
        while self._pending_writes and len(batch) < self._batch_limit:
            if self._pending_writes[0].key in batch:
                break
            write = self._pending_writes.popleft()
            if not write.result.cancelled():
                batch[write.key] = write
        return list(batch.values())

    async def _commit(self, batch: list[_Write]) -> None:
        if not batch:
            return
        transaction = Transaction(
            conditions={
                key: revision
                for write in batch
                for key, revision in write.conditions.items()
            },
            writes={write.key: write.value for write in batch},
            nonce=uuid4().hex,
        )
        self._metrics.count("store_transaction")
        self._metrics.count("store_row", amount=len(batch))
        try:
            revision = await self._platform.commit(transaction)
        except TransactionConflictError as error:
            self._fail_conflicting(batch, error)
        except StoreError as error:
            for write in batch:
                _set_exception(write, error)
        else:
            for write in batch:
                if not write.result.done():
                    write.result.set_result(revision)

    def _fail_conflicting(
        self, batch: list[_Write], error: TransactionConflictError
    ) -> None:
        """Fail the conflicting writes and queue the others again, in the same order."""
        for write in reversed(batch):
            if not write.conditions.keys().isdisjoint(error.keys):
                _set_exception(write, TransactionConflictError([write.key]))
            else:
                self._pending_writes.appendleft(write)


def _set_exception(write: _Write, error: Exception) -> None:
    if not write.result.done():
        write.result.set_exception(error)
