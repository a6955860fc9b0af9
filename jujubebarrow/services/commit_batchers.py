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
    absent: tuple[str, ...]
    done: "Future[int]"

    @property
    def conditions(self) -> dict[str, int]:
        return {self.key: self.revision} | dict.fromkeys(self.absent, ABSENT_REVISION)


class CommitBatcher:
    """Joins concurrent conditional writes into one transaction at a time.

    Args:
        platform: Table.
        batch: Most rows in a transaction.
        metrics: Where transactions and rows are counted.
    """

    def __init__(self, platform: Store, batch: int, metrics: MetricsRegistry):
        self._platform = platform
        self._batch = batch
        self._metrics = metrics
        self._waiting: deque[_Write] = deque()
        self._task: Task[None] | None = None

    async def write(
        self,
        key: str,
        value: dict[str, Any] | None,
        revision: int,
        absent: tuple[str, ...] = (),
    ) -> int:
        """Write one row if it still has a revision.

        Args:
            key: Row.
            value: New value; None deletes the row.
            revision: Revision that the row must have; 0 if it must not exist.
            absent: Other rows that must not exist.

        Returns:
            Revision of the write.

        Raises:
            TransactionConflictError: The row has another revision.
            StoreError: Unknown whether the write took effect.
        """
        done: Future[int] = get_running_loop().create_future()
        self._waiting.append(_Write(key, value, revision, absent, done))
        if self._task is None or self._task.done():
            self._task = create_task(self._run())
        return await done

    async def _run(self) -> None:
        while self._waiting:
            await self._commit(self._take_batch())

    def _take_batch(self) -> list[_Write]:
        batch: dict[str, _Write] = {}
        while self._waiting and len(batch) < self._batch:
            if self._waiting[0].key in batch:
                break
            write = self._waiting.popleft()
            if not write.done.cancelled():
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
            self._split(batch, error)
        except StoreError as error:
            for write in batch:
                _fail(write, error)
        else:
            for write in batch:
                if not write.done.done():
                    write.done.set_result(revision)

    def _split(self, batch: list[_Write], error: TransactionConflictError) -> None:
        for write in reversed(batch):
            if not write.conditions.keys().isdisjoint(error.keys):
                _fail(write, TransactionConflictError([write.key]))
            else:
                self._waiting.appendleft(write)


def _fail(write: _Write, error: Exception) -> None:
    if not write.done.done():
        write.done.set_exception(error)
