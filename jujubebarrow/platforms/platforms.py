"""Interface to the platform's services."""

from abc import ABC, abstractmethod

from jujubebarrow.platforms.listings import Listing
from jujubebarrow.platforms.rows import RowSet
from jujubebarrow.platforms.transactions import Transaction


class Platform(ABC):
    """Transactional table, object store and list of instances.

    Every method raises ``StoreError`` when the platform does not answer.
    """

    @abstractmethod
    async def commit(self, transaction: Transaction) -> int:
        """Commit a transaction once and return its revision.

        A lost answer is resolved by the nonce in the rows.

        Raises:
            TransactionConflictError: A condition did not hold.
            StoreError: Unknown whether the transaction took effect.
        """

    @abstractmethod
    async def read(self, prefix: str) -> RowSet:
        """Return the rows whose key starts with a prefix."""

    @abstractmethod
    async def read_changes(self, prefix: str, since: int, wait: float) -> RowSet:
        """Return rows changed after a revision, waiting some seconds for one."""

    @abstractmethod
    async def list_instances(self) -> Listing:
        """Return the lagging list of live and leaving instances."""

    @abstractmethod
    async def put_object(self, name: str, data: bytes) -> None:
        """Store an object."""

    @abstractmethod
    async def get_object(self, name: str) -> bytes:
        """Return an object's bytes."""
