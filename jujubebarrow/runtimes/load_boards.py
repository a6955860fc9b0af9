"""Loads of all pools and moves under way, as the owners tell one another."""

from typing import Any
from uuid import uuid4

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.errors.exceptions import StoreError
from jujubebarrow.identifiers import PoolId
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.pools.pool_loads import PoolLoad
from jujubebarrow.stores.row_keys import RowKey, TableName, make_key
from jujubebarrow.stores.rows import Row
from jujubebarrow.stores.store_clocks import StoreClock
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import Transaction
from jujubebarrow.workloads.identifiers import FenceToken, MachineId

LOAD_PREFIX = "load/"
MOVE_PREFIX = "move/"
PARTITION = "balance"
"""Apart from the owners' rows, so that loads never hold up a heartbeat or a claim."""
READ_AGE = 0.25
"""Seconds for which what was read serves all pools of this instance."""
TRANSIT = 2.5
"""Seconds after an order during which a machine counts as on its way."""
ORDER_TIME = 0.5
"""Seconds after the claim of a move in which its order goes out, or not at all."""


class LoadBoard:
    """Rows of the balance table, shared by all pools of this instance.

    Args:
        store: Store.
        clock: Time source.
        metrics: Counters.
    """

    def __init__(self, store: Store, clock: Clock, metrics: MetricsRegistry):
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._store_clock = StoreClock(clock)
        self._read_at = float("-inf")
        self._moves: dict[MachineId, tuple[int, PoolId, str, float]] = {}
        self.loads: dict[PoolId, PoolLoad] = {}

    async def refresh(self) -> None:
        """Read all rows, unless that was done a moment ago.

        Raises:
            StoreError: No answer.
        """
        now = self._clock.monotonic()
        if now - self._read_at < READ_AGE:
            return
        self._read_at = now
        found = await self._store.read(make_key(TableName.BALANCE, PARTITION, ""))
        self._store_clock.note(now, found.clock)
        self.loads = {}
        for row in found.rows:
            self._take(row)

    def _take(self, row: Row) -> None:
        name = RowKey.parse(row.key).name
        value = row.value or {}
        if name.startswith(LOAD_PREFIX):
            pool = PoolId(name.removeprefix(LOAD_PREFIX))
            self.loads[pool] = PoolLoad.from_document(pool, value)
        elif name.startswith(MOVE_PREFIX):
            machine = MachineId(name.removeprefix(MOVE_PREFIX))
            known = self._moves.get(machine)
            if known is None or known[0] != row.revision:
                target = PoolId(value["target"])
                ordered_at = self._store_clock.to_local(value["at"]) + ORDER_TIME
                move = (row.revision, target, value["holder"], ordered_at)
                self._moves[machine] = move

    def count_under_way(self) -> dict[PoolId, int]:
        """Return how many machines are on their way to each pool."""
        now = self._clock.monotonic()
        under_way: dict[PoolId, int] = {}
        for _, target, _, ordered_at in self._moves.values():
            if now - ordered_at < TRANSIT:
                under_way[target] = under_way.get(target, 0) + 1
        return under_way

    def may_order(self, machine: MachineId, holder: str, machine_lease: float) -> bool:
        """Return whether another holder's last order is long enough ago."""
        known = self._moves.get(machine)
        if known is None or known[2] == holder:
            return True
        return self._clock.monotonic() - known[3] > machine_lease

    async def tell_load(self, load: PoolLoad) -> None:
        """Write the load of a pool.

        Raises:
            StoreError: Unknown whether it was written.
        """
        key = make_key(TableName.BALANCE, PARTITION, LOAD_PREFIX + load.pool)
        await self._write(key, load.to_document())

    async def claim_move(
        self, machine: MachineId, target: PoolId, holder: str
    ) -> FenceToken:
        """Write a move before it is ordered; return the token for the order.

        Raises:
            StoreError: Unknown whether it was written, or written too late for the
                order to follow in time.
        """
        key = make_key(TableName.BALANCE, PARTITION, MOVE_PREFIX + machine)
        began = self._clock.monotonic()
        at = self._store_clock.to_stored(began)
        value = {"target": target, "holder": holder, "at": at}
        revision = await self._write(key, value)
        now = self._clock.monotonic()
        self._moves[machine] = (revision, target, holder, now)
        if now - began > ORDER_TIME:
            self._metrics.count("move_claimed_late")
            raise StoreError("claim of a move took too long")
        return FenceToken(revision)

    async def _write(self, key: str, value: dict[str, Any]) -> int:
        transaction = Transaction(writes={key: value}, nonce=uuid4().hex)
        try:
            answer = await self._store.try_commit(transaction)
        except StoreError:
            self._metrics.count("balance_unwritten")
            raise
        return answer.revision
