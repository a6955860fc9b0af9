"""Interface to the platform's services."""

from abc import ABC, abstractmethod

from jujubebarrow.errors.exceptions import StoreError, TransactionConflictError
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.stores.commit_answers import CommitAnswer
from jujubebarrow.stores.listings import Listing
from jujubebarrow.stores.rows import RowSet
from jujubebarrow.stores.transactions import Transaction

COMMIT_ATTEMPTS = 3


class Store(ABC):
    """Transactional table, object store and list of instances.

    Every method raises ``StoreError`` when the platform does not answer.

    Args:
        metrics: Where retries are counted.
    """

    commit_attempts = COMMIT_ATTEMPTS

    def __init__(self, metrics: MetricsRegistry):
        self._metrics = metrics

    async def commit(self, transaction: Transaction) -> int:
        """Commit a transaction once and return its revision.

        A lost answer is resolved by the nonce in the rows.

        Raises:
            TransactionConflictError: A condition did not hold.
            StoreError: Unknown whether the transaction took effect.
        """
        attempts = 0
        uncertain = False
        while True:
            attempts += 1
            try:
                return await self._commit_once(transaction)
            except StoreError as error:
                uncertain = uncertain or error.may_have_applied
                if attempts == self.commit_attempts:
                    raise StoreError(str(error), uncertain) from error
                self._metrics.count("retry", "store-commit")

    async def _commit_once(self, transaction: Transaction) -> int:
        answer = await self.try_commit(transaction)
        if not answer.nonces:
            return answer.revision
        nonce = transaction.nonce
        own = [key for key, other in answer.nonces.items() if other == nonce]
        if own:
            # An earlier attempt took effect and its answer was lost.
            return await self._read_own_revision(own[0], nonce)
        raise TransactionConflictError(list(answer.nonces))

    async def _read_own_revision(self, key: str, nonce: str) -> int:
        rows = await self.read(key)
        for row in rows.rows:
            if row.key == key and row.nonce == nonce:
                return row.revision
        return rows.revision

    @abstractmethod
    async def try_commit(self, transaction: Transaction) -> CommitAnswer:
        """Send a transaction once and return the answer."""

    @abstractmethod
    async def read(self, prefix: str, limit: int = 0) -> RowSet:
        """Return the rows whose key starts with a prefix.

        Args:
            prefix: Prefix.
            limit: Most rows; 0 for all.
        """

    @abstractmethod
    async def read_changes(self, prefix: str, since: int, wait: float) -> RowSet:
        """Return rows changed after a revision, waiting some seconds for one.

        Raises:
            HistoryLostError: The store no longer has all changes since then.
        """

    async def list_partitions(self, table: str) -> list[str]:
        """Return the partitions of a table that have rows.

        A key is made of a table, a partition and a name, with slashes between.
        """
        rows = await self.read(f"{table}/")
        return sorted({row.key.split("/", 2)[1] for row in rows.rows})

    @abstractmethod
    async def list_instances(self) -> Listing:
        """Return the lagging list of live and leaving instances."""

    @abstractmethod
    async def put_object(self, name: str, data: bytes) -> None:
        """Store an object."""

    @abstractmethod
    async def get_object(self, name: str) -> bytes:
        """Return an object's bytes."""
