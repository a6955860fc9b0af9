"""Store client that executes the calls of other instances."""

from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from jujubebarrow.errors.exceptions import NoDirectPathError
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.stores.commit_results import CommitResult
from jujubebarrow.stores.direct_paths import DirectPath
from jujubebarrow.stores.instance_lists import InstanceList
from jujubebarrow.stores.path_races import run_until_down
from jujubebarrow.stores.row_pages import RowPage
from jujubebarrow.stores.rows import RowSet
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import Transaction

Result = TypeVar("Result")


class PeerCallStore(Store):
    """Calls the store directly, and rejects a call as soon as the path is down.

    The other instance then tries the next relay without waiting for a timeout here.

    Args:
        direct: Client for direct calls to the store.
        path: State of this instance's direct path to the store.
        metrics: Registry of the counters.
    """

    def __init__(self, direct: Store, path: DirectPath, metrics: MetricsRegistry):
        super().__init__(metrics)
        self._direct = direct
        self._path = path

    async def _call(
        self, call: Callable[[], Coroutine[Any, Any, Result]], is_write: bool = False
    ) -> Result:
        if self._path.is_down:
            self._metrics.count("store_relay_rejected")
            raise NoDirectPathError("no direct path", False)
        async with run_until_down(call(), self._path) as task:
            if task.done():
                return await task
            self._metrics.count("store_relay_rejected")
            raise NoDirectPathError("direct path lost", is_write)

    async def try_commit(self, transaction: Transaction) -> CommitResult:
        """Send a transaction once and return the result."""
        return await self._call(
            lambda: self._direct.try_commit(transaction), is_write=True
        )

    async def read(self, prefix: str, limit: int = 0) -> RowSet:
        """Return the rows whose key starts with a prefix."""
        return await self._call(lambda: self._direct.read(prefix, limit))

    async def read_page(self, prefix: str, start: str, limit: int) -> RowPage:
        """Return a part of the rows whose key starts with a prefix."""
        return await self._call(lambda: self._direct.read_page(prefix, start, limit))

    async def read_changes(self, prefix: str, since: int, wait: float) -> RowSet:
        """Return rows changed after a revision; wait up to ``wait`` seconds for one."""
        return await self._call(lambda: self._direct.read_changes(prefix, since, wait))

    async def list_partitions(self, table: str) -> list[str]:
        """Return the partitions of a table that have rows."""
        return await self._call(lambda: self._direct.list_partitions(table))

    async def list_instances(self) -> InstanceList:
        """Return the list of live and leaving instances, which may lag behind."""
        return await self._call(self._direct.list_instances)

    async def put_object(self, name: str, data: bytes) -> None:
        """Store an object."""
        await self._call(lambda: self._direct.put_object(name, data), is_write=True)

    async def get_object(self, name: str) -> bytes:
        """Return an object's bytes."""
        return await self._call(lambda: self._direct.get_object(name))
