"""In-memory table with conditional transactions, used by the stand-ins and tests."""

from asyncio import Future, get_running_loop
from collections.abc import Callable
from time import monotonic
from typing import Any

from jujubebarrow.stores.commit_results import CommitResult
from jujubebarrow.stores.row_indexes import RowIndex
from jujubebarrow.stores.rows import Row, RowSet
from jujubebarrow.stores.transactions import ABSENT_REVISION, Transaction

TIMER_TOLERANCE_SECONDS = 1e-6
"""Time by which a loop may run a timer too early, by rounding."""


class Table:
    """Rows with revisions, conditional transactions and a change feed.

    Args:
        clock: Monotonic clock in seconds.

    Attributes:
        revision: Revision of the last applied transaction.
    """

    def __init__(self, clock: Callable[[], float] = monotonic) -> None:
        self.revision = 0
        self._clock = clock
        self._rows = RowIndex()
        # Insertion order keeps seeded runs reproducible; a set is ordered by address.
        self._waiting: dict[Future[None], None] = {}

    def commit(self, transaction: Transaction) -> CommitResult:
        """Apply a transaction if all its conditions are met.

        On a conflict, the result has the nonces of the conflicting rows.
        """
        conflicts = {
            key: self._read_nonce(key)
            for key, revision in transaction.conditions.items()
            if self._read_revision(key) != revision
        }
        if conflicts:
            return CommitResult(revision=self.revision, nonces=conflicts)
        self.revision += 1
        for key, value in transaction.writes.items():
            self._write(key, value, transaction.nonce)
        return CommitResult(revision=self.revision)

    def _write(self, key: str, value: dict[str, Any] | None, nonce: str) -> None:
        row = Row(key=key, revision=self.revision, nonce=nonce, value=value)
        self._rows.put(row)

    def _read_revision(self, key: str) -> int:
        row = self._rows.get(key)
        return row.revision if row and row.value is not None else ABSENT_REVISION

    def _read_nonce(self, key: str) -> str:
        row = self._rows.get(key)
        return row.nonce if row else ""

    async def notify(self) -> None:
        """Wake all readers that wait for changes."""
        for future in self._waiting:
            if not future.done():
                future.set_result(None)

    def read(self, prefix: str, limit: int = 0) -> RowSet:
        """Return the rows under a prefix that are not deleted.

        Args:
            prefix: Prefix of the keys.
            limit: Maximum number of rows; 0 for all.
        """
        rows = [row for row in self._rows if row.key.startswith(prefix)]
        if limit:
            rows = rows[:limit]
        return RowSet(revision=self.revision, rows=rows, clock=self._clock())

    def changes(self, prefix: str, since: int) -> RowSet:
        """Return the rows under a prefix that changed after a revision."""
        rows = self._rows.list_changes(prefix, since)
        return RowSet(revision=self.revision, rows=rows, clock=self._clock())

    async def wait_for_changes(self, prefix: str, since: int, wait: float) -> RowSet:
        """Return the changes; wait up to ``wait`` seconds for the first change."""
        changed_rows = self.changes(prefix, since)
        if changed_rows.rows or wait <= 0:
            return changed_rows
        loop = get_running_loop()
        end = loop.time() + wait
        while not changed_rows.rows and loop.time() < end - TIMER_TOLERANCE_SECONDS:
            future = loop.create_future()
            timer = loop.call_at(end, _set_done, future)
            self._waiting[future] = None
            try:
                await future
            finally:
                timer.cancel()
                del self._waiting[future]
            changed_rows = self.changes(prefix, since)
        return changed_rows


def _set_done(future: Future[None]) -> None:
    if not future.done():
        future.set_result(None)
