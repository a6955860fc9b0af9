"""In-memory store with one client for each instance and with injected faults."""

from asyncio import Event, get_running_loop, sleep
from collections.abc import Iterable
from random import Random

import cbor2
from msgspec import json

from jujubebarrow.errors.exceptions import (
    HistoryLostError,
    InvalidCallError,
    StoreError,
)
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.standins.tables import Table
from jujubebarrow.stores.commit_results import CommitResult
from jujubebarrow.stores.instance_lists import InstanceList
from jujubebarrow.stores.row_keys import RowKey
from jujubebarrow.stores.rows import RowSet
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import Transaction

ONE_WAY_DELAY_SECONDS = 0.004
RESPONSE_TIMEOUT_SECONDS = 0.9
"""Time without a response after which a call counts as unanswered."""
ENTRY_LIMIT = 100
"""Most conditions and writes of a transaction."""
ROW_LIMIT_BYTES = 65_536
TRANSACTION_LIMIT_BYTES = 1_000_000
BASE64_FACTOR = 4 / 3
LATE_WRITE_RANGE_SECONDS = (1.0, 6.0)
"""Range of the delay after which the store applies a late write."""


class SharedStore:
    """Data of the emulated store, and the faults that all clients see.

    Args:
        random: Random generator that selects the commits that fail and the delays of
            late writes.

    Attributes:
        table: Rows of the store.
        random: Random generator that selects the commits that fail and the delays of
            late writes.
        is_down: Whether all calls time out.
        unavailable_partitions: Partitions whose reads and transactions fail at once,
            whoever calls; the change feeds still report their rows.
        extra_delay_seconds: Additional delay of each call in seconds.
        commit_seconds: Time in seconds that a partition takes for one transaction; the
            transactions of a partition follow one another.
        response_loss_probability: Probability that a commit is applied and its response
            is lost.
        late_write_probability: Probability that a commit times out and is applied
            later.
        response_loss_keys: Keys whose commits are applied although the response is
            lost.
        oldest_readable_revision: Lowest revision from which changes can still be read.
        refused_keys: Keys whose writes are refused for good, like those of rows that
            are too large.
        refusal_count: Number of transactions that were refused for good.
        history_truncation_count: Number of truncations of the history. A truncation
            makes all waiting reads of changes fail.
    """

    def __init__(self, random: Random):
        self.table = Table(clock=lambda: get_running_loop().time())
        self.random = random
        self.is_down = False
        self.unavailable_partitions: set[str] = set()
        self.extra_delay_seconds = 0.0
        self.commit_seconds = 0.0
        self.response_loss_probability = 0.0
        self.late_write_probability = 0.0
        self.response_loss_keys: set[str] = set()
        self.refused_keys: set[str] = set()
        self.refusal_count = 0
        self.oldest_readable_revision = 0
        self.history_truncation_count = 0
        self._busy_until: dict[str, float] = {}

    def check_limits(self, transaction: Transaction) -> None:
        """Refuse a transaction that exceeds a limit of the store.

        Raises:
            InvalidCallError: A row, the transaction or its entries are too large.
        """
        sizes = [
            BASE64_FACTOR * len(cbor2.dumps(value))
            for value in transaction.writes.values()
        ]
        if (
            len(transaction.conditions) + len(transaction.writes) > ENTRY_LIMIT
            or max(sizes, default=0.0) > ROW_LIMIT_BYTES
            or sum(sizes) > TRANSACTION_LIMIT_BYTES
            or not self.refused_keys.isdisjoint(transaction.writes)
        ):
            self.refusal_count += 1
            raise InvalidCallError("status 413")

    def check_partitions(self, keys: Iterable[str]) -> None:
        """Fail a call that concerns an unavailable partition.

        Raises:
            StoreError: The connection was reset.
        """
        partitions = {RowKey.parse(key).partition for key in keys}
        if not partitions.isdisjoint(self.unavailable_partitions):
            raise StoreError("connection reset", True)

    async def wait_for_turn(self, transaction: Transaction) -> None:
        """Wait until the partitions of a transaction have completed it."""
        if not self.commit_seconds:
            return
        keys = {*transaction.writes, *transaction.conditions}
        partitions = {RowKey.parse(key).partition for key in keys}
        now = get_running_loop().time()
        start = max([now, *(self._busy_until.get(name, now) for name in partitions)])
        end = start + self.commit_seconds
        self._busy_until.update(dict.fromkeys(partitions, end))
        await sleep(end - now)


class EmulatedStore(Store):
    """Client of the emulated store that one instance uses.

    Args:
        shared: Data and faults that all clients share.
        metrics: Registry of the counters.

    Attributes:
        commit_attempts: Number of attempts to commit a transaction.
        is_disconnected: Whether this client's calls time out.
        is_rejecting_calls: Whether this client's calls fail at once with status 503.
        is_running: Cleared while the client gets no processor time, so that it sends no
            request and takes note of no response.
        unreadable_tables: Tables whose rows and change feeds this client cannot read;
            such reads time out.
        loss_probability: Probability that a call of this client gets no response.
        unwritable_tables: Tables to which this client cannot write; such transactions
            time out.
        failing_prefixes: Prefixes whose reads get no response.
        read_bytes: Encoded size of all rows that this client has received.
        read_prefixes: Prefix of each read of rows, in the order of the requests.
    """

    commit_attempts = 2

    def __init__(self, shared: SharedStore, metrics: MetricsRegistry):
        super().__init__(metrics)
        self._shared = shared
        self.is_disconnected = False
        self.is_rejecting_calls = False
        self.is_running = Event()
        self.is_running.set()
        self.loss_probability = 0.0
        self.unreadable_tables: set[str] = set()
        self.unwritable_tables: set[str] = set()
        self.failing_prefixes: set[str] = set()
        self.read_bytes = 0
        self.read_prefixes: list[str] = []

    def _count_bytes(self, rows: RowSet) -> RowSet:
        self.read_bytes += sum(
            len(row.key) + len(row.nonce) + len(json.encode(row.value))
            for row in rows.rows
        )
        return rows

    def _is_lost(self) -> bool:
        if self.is_disconnected or self._shared.is_down:
            return True
        return (
            self.loss_probability > 0.0
            and self._shared.random.random() < self.loss_probability
        )

    async def _deliver_request(self, wait: float = 0.0) -> None:
        await self.is_running.wait()
        await sleep(ONE_WAY_DELAY_SECONDS + self._shared.extra_delay_seconds)
        if self.is_rejecting_calls:
            raise StoreError("status 503", False)
        if self._is_lost():
            await sleep(RESPONSE_TIMEOUT_SECONDS + wait)
            raise StoreError("no answer", True)

    async def try_commit(self, transaction: Transaction) -> CommitResult:
        """Make one attempt to commit a transaction.

        Raises:
            InvalidCallError: The transaction exceeds a limit of the store.
            StoreError: The store was unreachable, rejected the call, or its response
                was lost.
        """
        await self._deliver_request()
        tables = {RowKey.parse(key).table for key in transaction.writes}
        if not self.unwritable_tables.isdisjoint(tables):
            await sleep(RESPONSE_TIMEOUT_SECONDS)
            raise StoreError("no answer", True)
        shared = self._shared
        shared.check_partitions(transaction.writes)
        shared.check_limits(transaction)
        await shared.wait_for_turn(transaction)
        draw = shared.random.random()
        if draw < shared.late_write_probability:
            delay_seconds = shared.random.uniform(*LATE_WRITE_RANGE_SECONDS)
            get_running_loop().call_later(delay_seconds, self._apply, transaction)
        else:
            result = self._apply(transaction)
            await shared.table.notify()
            is_response_lost = not shared.response_loss_keys.isdisjoint(
                transaction.writes
            )
            if (
                not is_response_lost
                and draw
                >= shared.late_write_probability + shared.response_loss_probability
            ):
                await sleep(ONE_WAY_DELAY_SECONDS)
                await self.is_running.wait()
                return result
        await sleep(RESPONSE_TIMEOUT_SECONDS)
        raise StoreError("answer lost", True)

    def _apply(self, transaction: Transaction) -> CommitResult:
        return self._shared.table.commit(transaction)

    async def read(self, prefix: str, limit: int = 0) -> RowSet:
        """Return the rows whose key starts with a prefix."""
        self.read_prefixes.append(prefix)
        await self._deliver_request()
        await self._check_readable(prefix)
        self._shared.check_partitions([prefix])
        rows = self._shared.table.read(prefix, limit)
        await sleep(ONE_WAY_DELAY_SECONDS)
        await self.is_running.wait()
        return self._count_bytes(rows)

    async def list_partitions(self, table: str) -> list[str]:
        """Return the partitions of a table that have rows; no row is transferred."""
        await self._deliver_request()
        rows = self._shared.table.read(f"{table}/")
        await sleep(ONE_WAY_DELAY_SECONDS)
        return sorted({RowKey.parse(row.key).partition for row in rows.rows})

    async def read_changes(self, prefix: str, since: int, wait: float) -> RowSet:
        """Return the rows changed after a revision; wait up to ``wait`` seconds.

        Raises:
            HistoryLostError: The store no longer has all changes since that revision.
            StoreError: The store was unreachable or rejected the call.
        """
        timeout_at = get_running_loop().time() + RESPONSE_TIMEOUT_SECONDS + wait
        await self._deliver_request(wait)
        await self._check_readable(prefix)
        if since < self._shared.oldest_readable_revision:
            raise HistoryLostError(prefix)
        truncation_count = self._shared.history_truncation_count
        rows = await self._shared.table.wait_for_changes(prefix, since, wait)
        if truncation_count != self._shared.history_truncation_count:
            raise HistoryLostError(prefix)
        if self.is_disconnected or self._shared.is_down:
            await sleep(timeout_at - get_running_loop().time())
            raise StoreError("no answer", True)
        await sleep(ONE_WAY_DELAY_SECONDS)
        await self.is_running.wait()
        return self._count_bytes(rows)

    async def _check_readable(self, prefix: str) -> None:
        table = prefix.split("/", 1)[0]
        if table in self.unreadable_tables or prefix in self.failing_prefixes:
            await sleep(RESPONSE_TIMEOUT_SECONDS)
            raise StoreError("no answer", True)

    async def list_instances(self) -> InstanceList:
        """Return an empty list; the emulated store tracks no instances."""
        return InstanceList(instances={})

    async def put_object(self, name: str, data: bytes) -> None:
        """Raise an error; the emulated store has no objects."""
        raise StoreError("no objects here", False)

    async def get_object(self, name: str) -> bytes:
        """Raise an error; the emulated store has no objects."""
        raise StoreError("no objects here", False)
