"""Interface to the platform's table, object store and instance list."""

from abc import ABC, abstractmethod

from jujubebarrow.errors.exceptions import (
    InvalidCallError,
    StoreError,
    TransactionConflictError,
)
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.stores.commit_results import CommitResult
from jujubebarrow.stores.instance_lists import InstanceList
from jujubebarrow.stores.row_keys import RowKey
from jujubebarrow.stores.row_pages import RowPage
from jujubebarrow.stores.rows import RowSet
from jujubebarrow.stores.transactions import Transaction

COMMIT_ATTEMPTS = 3
INVALID_CALL_STATUSES = frozenset({400, 403, 413})
"""HTTP statuses of calls that break a rule of the store, such as the size of a row."""


class Store(ABC):
    """Transactional table, object store and list of instances.

    Every method raises ``StoreError`` if the platform does not respond or reports a
    failure.

    Args:
        metrics: Registry of the counters.
    """

    commit_attempts = COMMIT_ATTEMPTS

    def __init__(self, metrics: MetricsRegistry):
        self._metrics = metrics

    async def commit(self, transaction: Transaction) -> int:
        """Commit a transaction exactly once and return its revision.

        After a lost response the transaction is sent again. The nonce in the rows
        shows whether the earlier attempt already took effect.

        Raises:
            TransactionConflictError: A condition did not hold.
            InvalidCallError: The store refuses the transaction for its content, and no
                attempt may have taken effect.
            StoreError: All attempts failed; ``may_have_applied`` tells whether one of
                the attempts may have taken effect.
        """
        attempts = 0
        is_uncertain = False
        failures: tuple[str, ...] = ()
        while True:
            attempts += 1
            try:
                return await self.commit_once(transaction)
            except InvalidCallError as error:
                if is_uncertain:
                    failures += error.attempts
                    raise StoreError(str(error), True, failures) from error
                raise
            except StoreError as error:
                is_uncertain = is_uncertain or error.may_have_applied
                failures += error.attempts
                if attempts == self.commit_attempts:
                    raise StoreError(str(error), is_uncertain, failures) from error
                self._metrics.count("retry", "store-commit")

    async def commit_once(self, transaction: Transaction) -> int:
        """Commit a transaction without further attempts and return its revision.

        Raises:
            TransactionConflictError: A condition did not hold.
            StoreError: The attempt failed; ``may_have_applied`` tells whether it may
                have taken effect.
        """
        result = await self.try_commit(transaction)
        if not result.nonces:
            return result.revision
        nonce = transaction.nonce
        written_keys = [key for key, found in result.nonces.items() if found == nonce]
        if written_keys:
            # An earlier attempt or copy took effect, but the response was lost.
            key = written_keys[0]
            if key in result.revisions:
                return result.revisions[key]
            return await self._read_commit_revision(key, nonce)
        raise TransactionConflictError(list(result.nonces))

    async def _read_commit_revision(self, key: str, nonce: str) -> int:
        try:
            rows = await self.read(key)
        except StoreError as error:
            raise StoreError(f"applied, revision not read: {error}", True) from error
        for row in rows.rows:
            if row.key == key and row.nonce == nonce:
                return row.revision
        return rows.revision

    @abstractmethod
    async def try_commit(self, transaction: Transaction) -> CommitResult:
        """Send a transaction once and return the result."""

    @abstractmethod
    async def read(self, prefix: str, limit: int = 0) -> RowSet:
        """Return the rows whose key starts with a prefix.

        Args:
            prefix: Start of the row keys.
            limit: Limit on the returned rows; 0 for no limit.
        """

    async def read_page(self, prefix: str, start: str, limit: int) -> RowPage:
        """Return a part of the rows whose key starts with a prefix.

        A store whose reads are always small returns all rows from ``start`` on.

        Args:
            prefix: Start of the row keys.
            start: Name of the first row; empty for the first page.
            limit: Limit on the returned rows, of which there may be fewer; 0 for no
                limit.
        """
        found = await self.read(prefix)
        rows = [row for row in found.rows if RowKey.parse(row.key).name >= start]
        return RowPage(rows=rows, revision=found.revision, clock=found.clock)

    @abstractmethod
    async def read_changes(self, prefix: str, since: int, wait: float) -> RowSet:
        """Return rows changed after a revision; wait for a change if there is none.

        Args:
            prefix: Start of the row keys.
            since: Revision after which the rows changed.
            wait: Longest wait for a change in seconds.

        Raises:
            HistoryLostError: The store no longer has all changes since that revision.
        """

    async def list_partitions(self, table: str) -> list[str]:
        """Return the partitions of a table that have rows.

        A row key consists of table, partition and name, separated by slashes.
        """
        rows = await self.read(f"{table}/")
        return sorted({row.key.split("/", 2)[1] for row in rows.rows})

    @abstractmethod
    async def list_instances(self) -> InstanceList:
        """Return the list of live and leaving instances, which may lag behind."""

    @abstractmethod
    async def put_object(self, name: str, data: bytes) -> None:
        """Store an object."""

    @abstractmethod
    async def get_object(self, name: str) -> bytes:
        """Return an object's bytes."""
