"""Loads of all pools and recent machine moves, shared through the store."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any
from uuid import uuid4

from msgspec import Struct, convert

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.errors.exceptions import (
    HistoryLostError,
    StoreError,
    TransactionConflictError,
)
from jujubebarrow.identifiers import PoolId
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.pools.pool_loads import PoolLoad
from jujubebarrow.stores.row_errors import ROW_ERRORS
from jujubebarrow.stores.row_keys import RowKey, TableName, make_key
from jujubebarrow.stores.rows import Row, RowSet
from jujubebarrow.stores.store_clocks import StoreClock
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import ABSENT_REVISION, Transaction
from jujubebarrow.workloads.identifiers import FenceToken, MachineId, WorkerId

LOAD_PREFIX = "load/"
MOVE_PREFIX = "move/"
PARTITION = "balance"
"""Partition of the loads and moves; separate from the rows of heartbeats and duties, so
that writes of loads never delay heartbeats or claims."""
LOAD_AGE_LIMIT_SECONDS = 3.0
"""Age from which a load is ignored, since its pool may have no owner; two renewals of a
load and a slow store."""
WRITTEN_AT = "at"
CACHE_AGE_SECONDS = 0.1
"""Age up to which rows read for one pool are reused for this instance's other pools."""
CHANGES_AGE_LIMIT_SECONDS = 5.0
"""Time since the last read after which all rows are read again, since there may be more
changes than rows."""
TRANSIT_SECONDS = 2.5
"""Time after the order for a move during which the machine counts as incoming."""
MOVES_PER_CLAIM_LIMIT = 50
"""Most moves recorded by one transaction; half of what the platform accepts."""
ORDER_WINDOW_SECONDS = 0.5
"""Longest time that the claim of a move may take; after a slower claim, the order for
the move is not sent."""


class _Move(Struct, kw_only=True):
    target: str
    holder: str
    # Worker that responded just before the claim; empty if unknown.
    worker: str = ""
    # Time of the store's clock in seconds.
    at: float


class LoadRegistry:
    """Cached copy of the balance table, shared by all pools of this instance.

    Args:
        store: Store that holds the balance table.
        clock: Time source.
        metrics: Registry of the counters.
        on_move: Called for each move that any instance has claimed, with the machine,
            its worker, or an empty id if that is unknown, and the target pool.

    Attributes:
        loads: Recent load of each pool at the last refresh; pools whose owner has not
            reported for some time are left out.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        metrics: MetricsRegistry,
        on_move: Callable[
            [MachineId, WorkerId, PoolId], None
        ] = lambda machine, worker, pool: None,
    ):
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._on_move = on_move
        self._store_clock = StoreClock(clock)
        self._read_at = float("-inf")
        # Revision up to which all changes are known; None before the first read.
        self._revision: int | None = None
        # Last report of each pool, and the store's time at which it was written.
        self._reports: dict[PoolId, tuple[PoolLoad, float]] = {}
        # Revision, target pool, holder and time of the order; for a move read from the
        # store, the latest time at which its order may have been sent.
        self._moves: dict[MachineId, tuple[int, PoolId, str, float]] = {}
        # Time until which the order of a move that was claimed here may be sent.
        self._order_until: dict[MachineId, float] = {}
        self.loads: dict[PoolId, PoolLoad] = {}

    async def refresh(self) -> None:
        """Read the changed rows, unless the last read is recent enough.

        Raises:
            StoreError: The store does not answer.
        """
        now = self._clock.monotonic()
        if now - self._read_at < CACHE_AGE_SECONDS:
            return
        # Without an answer, no plan may rest on loads of unknown age.
        self.loads = {}
        if now - self._read_at > CHANGES_AGE_LIMIT_SECONDS:
            self._revision = None
        self._read_at = now
        found = await self._read_rows()
        self._revision = found.revision
        self._store_clock.record_store_time(now, found.clock)
        for row in found.rows:
            try:
                self._apply_row(row)
            except ROW_ERRORS:
                self._metrics.count("row_unreadable", TableName.BALANCE.value)
        self.loads = {
            pool: load
            for pool, (load, written_at) in self._reports.items()
            if found.clock - written_at <= LOAD_AGE_LIMIT_SECONDS
        }

    async def _read_rows(self) -> RowSet:
        """Return the rows that have changed since the last read, at first all rows."""
        if self._revision is not None:
            try:
                prefix = f"{TableName.BALANCE.value}/"
                return await self._store.read_changes(prefix, self._revision, 0.0)
            except HistoryLostError:
                self._metrics.count("feed_history_lost", TableName.BALANCE.value)
        self._reports.clear()
        return await self._store.read(make_key(TableName.BALANCE, PARTITION, ""))

    def _apply_row(self, row: Row) -> None:
        if row.value is None:
            return
        name, value = RowKey.parse(row.key).name, row.value
        if name.startswith(LOAD_PREFIX):
            pool = PoolId(name.removeprefix(LOAD_PREFIX))
            written_at = convert(value.get(WRITTEN_AT, float("-inf")), float)
            self._reports[pool] = (PoolLoad.from_document(pool, value), written_at)
        elif name.startswith(MOVE_PREFIX):
            machine = MachineId(name.removeprefix(MOVE_PREFIX))
            recorded = self._moves.get(machine)
            if recorded is None or recorded[0] != row.revision:
                move = convert(value, _Move)
                ordered_at = (
                    self._store_clock.to_local_time(move.at) + ORDER_WINDOW_SECONDS
                )
                target = PoolId(move.target)
                self._moves[machine] = (row.revision, target, move.holder, ordered_at)
                self._on_move(machine, WorkerId(move.worker), target)

    def count_incoming(self) -> dict[PoolId, int]:
        """Return the number of incoming machines of each pool that has any."""
        now = self._clock.monotonic()
        incoming: dict[PoolId, int] = {}
        for _, target, _, ordered_at in self._moves.values():
            if now - ordered_at < TRANSIT_SECONDS:
                incoming[target] = incoming.get(target, 0) + 1
        return incoming

    def can_order(self, machine: MachineId, holder: str, machine_lease: float) -> bool:
        """Return whether a holder may send an order for a machine.

        A holder, the instance that claimed a move, may send an order if the last order
        for the machine was its own or if the machine lease has passed since the last
        order of another holder.
        """
        recorded = self._moves.get(machine)
        if recorded is None or recorded[2] == holder:
            return True
        return self._clock.monotonic() - recorded[3] > machine_lease

    def is_order_timely(self, machine: MachineId) -> bool:
        """Return whether the order of a move that was claimed here may still be sent.

        Other instances count on the order being sent within ORDER_WINDOW_SECONDS.
        """
        return self._clock.monotonic() <= self._order_until.get(machine, float("-inf"))

    async def write_load(self, load: PoolLoad) -> None:
        """Write the load of a pool.

        Raises:
            StoreError: The write failed or its outcome is unknown.
        """
        key = make_key(TableName.BALANCE, PARTITION, LOAD_PREFIX + load.pool)
        written_at = self._store_clock.to_store_time(self._clock.monotonic())
        await self._write({key: load.to_document() | {WRITTEN_AT: written_at}}, {})

    async def claim_moves(
        self,
        targets: dict[MachineId, PoolId],
        holder: str,
        workers: Mapping[MachineId, WorkerId] = MappingProxyType({}),
    ) -> FenceToken:
        """Record moves; the orders for the moves may be sent only after the record.

        All moves are recorded by one transaction, because the store executes the
        transactions of a partition one after the other.

        Args:
            targets: Pool to which each machine moves; MOVES_PER_CLAIM_LIMIT machines
                at most.
            holder: Instance that sends the orders.
            workers: Workers of these machines that have just responded.

        Returns:
            Fencing token for the orders.

        Raises:
            StoreError: The write failed or its outcome is unknown, another holder has
                claimed one of the machines, or the write took longer than
                ORDER_WINDOW_SECONDS.
        """
        started_at = self._clock.monotonic()
        at = self._store_clock.to_store_time(started_at)
        keys = {
            machine: make_key(TableName.BALANCE, PARTITION, MOVE_PREFIX + machine)
            for machine in targets
        }
        revision = await self._write(
            {
                keys[machine]: {
                    "target": target,
                    "holder": holder,
                    "at": at,
                    "worker": workers.get(machine, ""),
                }
                for machine, target in targets.items()
            },
            {keys[machine]: self._find_revision(machine) for machine in targets},
        )
        now = self._clock.monotonic()
        for machine, target in targets.items():
            self._moves[machine] = (revision, target, holder, now)
            self._order_until[machine] = started_at + ORDER_WINDOW_SECONDS
            self._on_move(machine, workers.get(machine, WorkerId("")), target)
        if now - started_at > ORDER_WINDOW_SECONDS:
            self._metrics.count("move_claimed_late")
            raise StoreError("claim of moves took too long")
        return FenceToken(revision)

    def _find_revision(self, machine: MachineId) -> int:
        recorded = self._moves.get(machine)
        return recorded[0] if recorded else ABSENT_REVISION

    def record_refusal(self, machine: MachineId) -> None:
        """Stop counting a machine as incoming, since its order was refused."""
        recorded = self._moves.get(machine)
        if recorded is not None:
            revision, target, holder, _ = recorded
            self._moves[machine] = (revision, target, holder, float("-inf"))

    async def _write(
        self, values: dict[str, dict[str, Any]], conditions: dict[str, int]
    ) -> int:
        transaction = Transaction(
            conditions=conditions, writes=values, nonce=uuid4().hex
        )
        try:
            return await self._store.commit_once(transaction)
        except TransactionConflictError as error:
            self._metrics.count("move_conflict")
            raise StoreError("another instance has claimed a machine") from error
        except StoreError:
            self._metrics.count("balance_unwritten")
            raise
