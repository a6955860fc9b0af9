"""Directory of the instances that renew no lease, for calls between instances."""

from asyncio import gather
from collections.abc import Callable
from random import Random
from uuid import uuid4
from zlib import crc32

from msgspec import Struct, ValidationError, convert

from jujubebarrow.background_loops import BackgroundLoop
from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.errors.exceptions import StoreError, TransactionConflictError
from jujubebarrow.identifiers import InstanceId
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.pauses import Pause
from jujubebarrow.stores.row_keys import RowKey, TableName, make_key
from jujubebarrow.stores.rows import Row
from jujubebarrow.stores.store_clocks import StoreClock
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import Transaction

PERIOD_SECONDS = 5.0
"""Mean time between two updates."""
PERIOD_VARIATION_FRACTION = 0.2
"""Variation of that time, so that instances that started together spread out."""
FIRST_UPDATE_SECONDS = 1.0
"""Mean time from the start to the first update; claimants, which are found sooner, can
be called before."""
LISTING_AGE_LIMIT_SECONDS = 12.0
"""Age from which an entry is ignored: two periods and a slow store."""
DEPARTED_AGE_SECONDS = 60.0
"""Age from which an entry is removed by an instance that owns duties."""
PARTITIONS_COUNT = 8
"""Partitions of the directory, so that the writes of a large fleet are not all in one;
an instance that owns no duty reads one of them."""
SAMPLE_LIMIT_ROWS = 16
"""Most entries that an instance without duties reads; enough to choose instances for
relayed calls."""


class _Entry(Struct):
    address: str
    # Time of the store's clock in seconds.
    at: float


class InstanceDirectory(BackgroundLoop):
    """Lists this instance and reads the addresses of others.

    Args:
        instance: Id of this instance.
        address: IP and port of this instance for calls between instances; empty if it
            accepts none.
        store: Store shared by all instances.
        is_listed: Returns whether this instance has to be listed; the heartbeats of
            claimants contain their addresses.
        reads_all: Returns whether this instance needs many other instances.
        random: Random generator of the times and partitions.
        clock: Time source.
        metrics: Registry of the counters.
    """

    def __init__(
        self,
        instance: InstanceId,
        address: str,
        store: Store,
        is_listed: Callable[[], bool],
        reads_all: Callable[[], bool],
        random: Random,
        clock: Clock,
        metrics: MetricsRegistry,
    ):
        super().__init__()
        self._instance = instance
        self._address = address
        self._store = store
        self._is_listed = is_listed
        self._reads_all = reads_all
        self._random = random
        self._clock = clock
        self._metrics = metrics
        self._store_clock = StoreClock(clock)
        self._pause = Pause()
        self._key = _make_entry_key(instance)
        self._is_stored = False
        # Address of each instance, and the local time until which it is used.
        self._addresses: dict[InstanceId, tuple[str, float]] = {}

    @property
    def addresses(self) -> list[str]:
        """Addresses of other instances that were listed recently."""
        now = self._clock.monotonic()
        return [address for address, until in self._addresses.values() if now < until]

    def update_soon(self) -> None:
        """Read the directory at once, because this instance has claimed a duty."""
        self._pause.interrupt()

    async def remove(self) -> None:
        """Remove this instance, which stops."""
        if self._is_stored:
            await self._commit(Transaction(writes={self._key: None}, nonce=_nonce()))

    async def _run(self) -> None:
        await self._pause.sleep(self._vary(FIRST_UPDATE_SECONDS))
        while True:
            await self.update()
            await self._pause.sleep(self._vary(PERIOD_SECONDS))

    def _vary(self, seconds: float) -> float:
        variation = PERIOD_VARIATION_FRACTION
        return seconds * self._random.uniform(1 - variation, 1 + variation)

    async def update(self) -> None:
        """Read a part of the directory, or all of it, and list this instance."""
        if self._reads_all():
            numbers = range(PARTITIONS_COUNT)
            await gather(*(self._read_partition(number, 0) for number in numbers))
        else:
            number = self._random.randrange(PARTITIONS_COUNT)
            await self._read_partition(number, SAMPLE_LIMIT_ROWS)
        now = self._clock.monotonic()
        self._addresses = {
            name: entry for name, entry in self._addresses.items() if now < entry[1]
        }
        if self._address and self._is_listed():
            value = {
                "address": self._address,
                "at": self._store_clock.to_store_time(now),
            }
            self._is_stored = True
            await self._commit(Transaction(writes={self._key: value}, nonce=_nonce()))

    async def _read_partition(self, number: int, limit: int) -> None:
        prefix = make_key(TableName.INSTANCES, str(number), "")
        sent_at = self._clock.monotonic()
        try:
            found = await self._store.read(prefix, limit)
        except StoreError as error:
            self._metrics.count("directory_unread", str(error)[:40])
            return
        self._store_clock.record_store_time(sent_at, found.clock)
        departed: dict[str, int] = {}
        for row in found.rows:
            age = self._apply_row(row)
            if age > DEPARTED_AGE_SECONDS:
                departed[row.key] = row.revision
        if departed and self._reads_all():
            await self._commit(
                Transaction(
                    conditions=departed,
                    writes=dict.fromkeys(departed),
                    nonce=_nonce(),
                )
            )

    def _apply_row(self, row: Row) -> float:
        """Remember the address of an entry; return the age of the entry in seconds."""
        try:
            entry = convert(row.value, _Entry)
        except ValidationError:
            self._metrics.count("row_unreadable", TableName.INSTANCES.value)
            return 0.0
        instance = InstanceId(RowKey.parse(row.key).name)
        listed_at = self._store_clock.to_local_time(entry.at)
        until = listed_at + LISTING_AGE_LIMIT_SECONDS
        if instance != self._instance and entry.address:
            self._addresses[instance] = (entry.address, until)
        return self._clock.monotonic() - listed_at

    async def _commit(self, transaction: Transaction) -> None:
        try:
            await self._store.commit(transaction)
        except (StoreError, TransactionConflictError) as error:
            self._metrics.count("directory_unwritten", type(error).__name__)


def _make_entry_key(instance: InstanceId) -> str:
    number = crc32(instance.encode()) % PARTITIONS_COUNT
    return make_key(TableName.INSTANCES, str(number), instance)


def _nonce() -> str:
    return uuid4().hex
