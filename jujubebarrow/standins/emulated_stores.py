"""Store in memory, one client for each instance, with faults."""

from asyncio import get_running_loop, sleep
from random import Random

from jujubebarrow.errors.exceptions import HistoryLostError, StoreError
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.standins.tables import Table
from jujubebarrow.stores.commit_results import CommitResult
from jujubebarrow.stores.instance_lists import InstanceList
from jujubebarrow.stores.rows import RowSet
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import Transaction

DELAY = 0.004
"""Seconds one way."""
TIMEOUT = 0.9
"""Seconds until a call counts as unanswered."""
LATE_RANGE = (1.0, 6.0)
"""Seconds after which a late write takes effect."""


class SharedStore:
    """The store itself and its faults.

    Args:
        random: Source of faults.
    """

    def __init__(self, random: Random):
        self.table = Table(clock=lambda: get_running_loop().time())
        self.random = random
        self.is_down = False
        self.slowness = 0.0
        self.lost_share = 0.0
        self.late_share = 0.0
        self.silent_keys: set[str] = set()
        self.history_from = 0
        self.history_cuts = 0


class EmulatedStore(Store):
    """One instance's client of the store.

    Args:
        shared: Store.
        metrics: Counters.
    """

    commit_attempts = 2

    def __init__(self, shared: SharedStore, metrics: MetricsRegistry):
        super().__init__(metrics)
        self._shared = shared
        self.is_cut = False
        self.is_refused = False

    async def _reach(self) -> None:
        await sleep(DELAY + self._shared.slowness)
        if self.is_refused:
            raise StoreError("status 503", False)
        if self.is_cut or self._shared.is_down:
            await sleep(TIMEOUT)
            raise StoreError("no answer", True)

    async def try_commit(self, transaction: Transaction) -> CommitResult:
        """Send a transaction once and return the answer."""
        await self._reach()
        shared = self._shared
        draw = shared.random.random()
        if draw < shared.late_share:
            delay = shared.random.uniform(*LATE_RANGE)
            get_running_loop().call_later(delay, self._apply, transaction)
        else:
            answer = self._apply(transaction)
            await shared.table.notify()
            silent = not shared.silent_keys.isdisjoint(transaction.writes)
            if not silent and draw >= shared.late_share + shared.lost_share:
                await sleep(DELAY)
                return answer
        await sleep(TIMEOUT)
        raise StoreError("answer lost", True)

    def _apply(self, transaction: Transaction) -> CommitResult:
        return self._shared.table.commit(transaction)

    async def read(self, prefix: str, limit: int = 0) -> RowSet:
        """Return the rows whose key starts with a prefix."""
        await self._reach()
        rows = self._shared.table.read(prefix, limit)
        await sleep(DELAY)
        return rows

    async def read_changes(self, prefix: str, since: int, wait: float) -> RowSet:
        """Return rows changed after a revision, waiting some seconds for one."""
        await self._reach()
        if since < self._shared.history_from:
            raise HistoryLostError(prefix)
        cuts = self._shared.history_cuts
        rows = await self._shared.table.wait_changes(prefix, since, wait)
        if cuts != self._shared.history_cuts:
            raise HistoryLostError(prefix)
        if self.is_cut or self._shared.is_down:
            await sleep(TIMEOUT)
            raise StoreError("no answer", True)
        await sleep(DELAY)
        return rows

    async def list_instances(self) -> InstanceList:
        """Return the lagging list of live and leaving instances."""
        return InstanceList(instances={})

    async def put_object(self, name: str, data: bytes) -> None:
        """Store an object."""
        raise StoreError("no objects here", False)

    async def get_object(self, name: str) -> bytes:
        """Return an object's bytes."""
        raise StoreError("no objects here", False)
