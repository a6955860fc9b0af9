"""In-memory transactional table of the platform stand-in."""

from asyncio import Condition, wait_for
from collections.abc import Callable
from time import monotonic
from typing import Any

from jujubebarrow.stores.commit_results import CommitResult
from jujubebarrow.stores.row_indexes import RowIndex
from jujubebarrow.stores.rows import Row, RowSet
from jujubebarrow.stores.transactions import ABSENT_REVISION, Transaction


class Table:
    """Rows with revisions, conditional transactions and a change feed.

    Args:
        clock: Steady clock in seconds.
    """

    def __init__(self, clock: Callable[[], float] = monotonic) -> None:
        self.revision = 0
        self._clock = clock
        self._rows = RowIndex()
        self._changed = Condition()

    def commit(self, transaction: Transaction) -> CommitResult:
        """Apply a transaction if its conditions hold."""
        conflicts = {
            key: self._nonce(key)
            for key, revision in transaction.conditions.items()
            if self._row_revision(key) != revision
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

    def _row_revision(self, key: str) -> int:
        row = self._rows.get(key)
        return row.revision if row and row.value is not None else ABSENT_REVISION

    def _nonce(self, key: str) -> str:
        row = self._rows.get(key)
        return row.nonce if row else ""

    async def notify(self) -> None:
        """Wake all waiting readers of changes."""
        async with self._changed:
            self._changed.notify_all()

    def read(self, prefix: str, limit: int = 0) -> RowSet:
        """Return the live rows under a prefix, at most a number of them."""
        rows = [row for row in self._rows if row.key.startswith(prefix)]
        if limit:
            rows = rows[:limit]
        return RowSet(revision=self.revision, rows=rows, clock=self._clock())

    def changes(self, prefix: str, since: int) -> RowSet:
        """Return rows under a prefix changed after a revision."""
        rows = self._rows.changes(prefix, since)
        return RowSet(revision=self.revision, rows=rows, clock=self._clock())

    async def wait_changes(self, prefix: str, since: int, wait: float) -> RowSet:
        """Return changes, waiting some seconds for the first one."""
        found = self.changes(prefix, since)
        if found.rows or wait <= 0:
            return found
        try:
            async with self._changed:
                await wait_for(
                    self._changed.wait_for(lambda: self.changes(prefix, since).rows),
                    wait,
                )
        except TimeoutError:
            pass
        return self.changes(prefix, since)
