"""Store client that relays calls through another instance when direct calls fail.

A store may refuse calls from single instances, or the network links of single
instances to the store may fail, while other instances still reach the store. With the
relay, the owner of a pool continues immediately. Without the relay, the pool would have
no working owner until the lease had expired and another instance had taken over.
"""

from abc import ABC, abstractmethod
from asyncio import Task, create_task
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any, TypeVar

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.errors.exceptions import (
    HistoryLostError,
    InvalidCallError,
    RelayedStoreError,
    SlowResponseError,
    StoreError,
)
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.stores.commit_results import CommitResult
from jujubebarrow.stores.direct_paths import DirectPath
from jujubebarrow.stores.instance_lists import InstanceList
from jujubebarrow.stores.paged_readers import PagedReader
from jujubebarrow.stores.partition_failures import PartitionFailures
from jujubebarrow.stores.path_races import run_until_down
from jujubebarrow.stores.peer_call_stores import PeerCallStore
from jujubebarrow.stores.read_throttles import ReadThrottle
from jujubebarrow.stores.relay_messages import (
    CHANGES,
    PAGE,
    PARTITIONS,
    decode_commit,
    decode_page,
    decode_partitions,
    decode_rows,
    encode_call,
    encode_commit,
)
from jujubebarrow.stores.relay_selectors import RelaySelector
from jujubebarrow.stores.row_keys import RowKey, TableName, make_key
from jujubebarrow.stores.row_pages import RowPage
from jujubebarrow.stores.rows import RowSet
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import Transaction

RELAY_ATTEMPTS = 3
"""Limit on the instances that are tried for one call; an instance whose own path to the
store is down rejects the call at once."""
RELAYED_WAIT_SECONDS = 0.5
"""Limit on the time that the store may delay a relayed response, since the relay may
fail in the meantime."""
PROBE_PREFIX = make_key(TableName.CONTROL, "", "probe")
"""Key that is read to probe the direct path; the row need not exist."""

Result = TypeVar("Result")


class RelayClient(ABC):
    """Sends store calls to another instance, which executes them."""

    @abstractmethod
    async def call(self, address: str, body: bytes, wait: float) -> Any:
        """Relay a call and return the store's result.

        Args:
            address: IP and port of the other instance.
            body: Encoded relayed call.
            wait: How long in seconds the store may delay its response.

        Raises:
            StoreError: The other instance did not respond, or its call to the store
                failed.
        """


class RelayedStore(Store):
    """Store client that calls the store directly, or through a relay after a failure.

    Args:
        direct: Client for direct calls to the store.
        relay: Client for calls that another instance executes.
        throttle: Limits what relayed reads put on this instance's network link; direct
            reads are limited by the direct client.
        random: Random generator that spreads relayed calls over the instances.
        clock: Time source for the backoff times.
        log: Decision log.
        metrics: Registry of the counters.
    """

    commit_attempts = 3

    def __init__(
        self,
        direct: Store,
        relay: RelayClient,
        throttle: ReadThrottle,
        random: Random,
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        super().__init__(metrics)
        self._direct = direct
        self._relay = relay
        self._throttle = throttle
        self._reader = PagedReader(
            lambda prefix, start: self.read_page(prefix, start, 0), metrics
        )
        self._clock = clock
        self._log = log
        self._path = DirectPath(clock)
        self._partitions = PartitionFailures(clock)
        self._selector = RelaySelector(random, clock)
        self._probe_task: Task[None] | None = None
        self._peer_addresses: list[str] = []
        self._peer_call_store = PeerCallStore(direct, self._path, metrics)

    @property
    def peer_call_store(self) -> Store:
        """Client that executes the calls of other instances, which are not relayed."""
        return self._peer_call_store

    def close(self) -> None:
        """Stop probing the direct path."""
        if self._probe_task is not None:
            self._probe_task.cancel()

    def set_peer_addresses(self, addresses: list[str]) -> None:
        """Set the addresses of the other live instances, which may relay calls."""
        self._peer_addresses = addresses

    def _choose_relays(self) -> list[str]:
        """Return instances that may relay a call; none while the path is up."""
        if not self._path.is_down:
            return []
        if self._path.is_probe_due and self._probe_task is None:
            self._probe_task = create_task(self._probe())
        return self._selector.choose(self._peer_addresses, RELAY_ATTEMPTS)

    async def _probe(self) -> None:
        # Calls of this instance take the relays meanwhile, so that none waits for the
        # timeout of a path that is still down.
        sent_at = self._clock.monotonic()
        try:
            await self._direct.read(PROBE_PREFIX)
        except SlowResponseError:
            self._record_success(sent_at)
        except StoreError as error:
            self._record_failure(error)
        else:
            self._record_success(sent_at)
        finally:
            self._probe_task = None

    def _record_failure(self, error: StoreError) -> None:
        if self._path.record_failure():
            self._log.write(
                "store_relayed",
                detail=str(error),
                instances=len(self._peer_addresses),
            )

    def _record_success(self, sent_at: float) -> None:
        if self._path.record_success(sent_at):
            self._log.write(
                "store_direct", detail="", instances=len(self._peer_addresses)
            )

    async def _call_direct(
        self, call: Callable[[], Awaitable[Result]], partition: str | None = None
    ) -> Result:
        sent_at = self._clock.monotonic()
        try:
            result = await call()
        except (HistoryLostError, InvalidCallError, SlowResponseError):
            # The store is reachable.
            self._record_success(sent_at)
            raise
        except StoreError as error:
            if partition is not None and self._partitions.is_failing(partition):
                self._partitions.record_failure(partition)
                self._metrics.count("store_partition_failed")
            else:
                self._record_failure(error)
            raise
        self._record_success(sent_at)
        if partition is not None:
            self._partitions.record_success(partition)
        return result

    async def _call_relay(
        self,
        address: str,
        body: bytes,
        wait: float = 0.0,
        partition: str | None = None,
    ) -> Any:
        self._metrics.count("store_relay")
        try:
            result = await self._relay.call(address, body, wait)
        except (HistoryLostError, InvalidCallError, SlowResponseError):
            self._selector.record_success(address)
            raise
        except StoreError as error:
            self._metrics.count("store_relay_failed")
            if not self._is_partition_failure(error, partition):
                self._selector.record_failure(address)
            raise
        self._selector.record_success(address)
        if partition is not None:
            self._partitions.record_success(partition)
        return result

    def _is_partition_failure(self, error: StoreError, partition: str | None) -> bool:
        """Return whether a partition fails for instances that reach the store.

        The direct path may then have been taken for down because of the partition.
        """
        if (
            partition is None
            or not isinstance(error, RelayedStoreError)
            or not error.has_path
        ):
            return False
        was_failing = self._partitions.is_failing(partition)
        self._partitions.record_failure(partition)
        if not was_failing:
            self._path.request_probe()
        return was_failing

    async def _call_readonly(
        self,
        body: bytes,
        wait: float,
        call_direct: Callable[[], Awaitable[Result]],
        decode: Callable[[Any], Result],
    ) -> Result:
        """Execute a read-only call through a relay; directly if no relay succeeds."""

        async def call_relay(address: str) -> Result:
            return decode(await self._call_relay(address, body, wait))

        if not wait or self._path.is_down:
            return await self._choose_route(
                call_relay, lambda: self._call_direct(call_direct)
            )
        # The timeout of a call that waits for changes is several times that of others.
        call = self._call_direct(call_direct)
        async with run_until_down(call, self._path) as direct_task:
            if direct_task.done():
                return await direct_task
            return await self._choose_route(call_relay, lambda: direct_task)

    async def _choose_route(
        self,
        call_relay: Callable[[str], Awaitable[Result]],
        call_direct: Callable[[], Awaitable[Result]],
    ) -> Result:
        for address in self._choose_relays():
            try:
                return await call_relay(address)
            except (HistoryLostError, InvalidCallError, SlowResponseError):
                raise
            except StoreError:
                # The next instance or the direct call may still succeed.
                self._metrics.count("retry", "relay")
        return await call_direct()

    async def try_commit(self, transaction: Transaction) -> CommitResult:
        """Send a transaction once and return the result."""
        failures: tuple[str, ...] = ()
        keys = [*transaction.writes, *transaction.conditions]
        partition = RowKey.parse(keys[0]).partition if keys else None
        for address in self._choose_relays():
            body = encode_commit(transaction)
            try:
                return decode_commit(
                    await self._call_relay(address, body, partition=partition)
                )
            except InvalidCallError:
                raise
            except StoreError as error:
                failures += (f"{address} {error}",)
                if error.may_have_applied:
                    raise StoreError(str(error), True, failures) from error
                self._metrics.count("retry", "relay")
        try:
            return await self._call_direct(
                lambda: self._direct.try_commit(transaction), partition
            )
        except InvalidCallError:
            raise
        except StoreError as error:
            failures += (f"direct: {error}",)
            raise StoreError(str(error), error.may_have_applied, failures) from error

    async def read(self, prefix: str, limit: int = 0) -> RowSet:
        """Return the rows whose key starts with a prefix."""
        return await self._reader.read(prefix, limit)

    async def read_page(self, prefix: str, start: str, limit: int) -> RowPage:
        """Return a part of the rows whose key starts with a prefix."""
        partition = RowKey.parse(prefix).partition

        async def call_relay(address: str) -> RowPage:
            async def fetch(row_limit: int) -> RowPage:
                body = encode_call(PAGE, prefix=prefix, start=start, limit=row_limit)
                return decode_page(
                    await self._call_relay(address, body, partition=partition)
                )

            return await self._throttle.read_page(prefix, start, limit, fetch)

        async def call_direct() -> RowPage:
            return await self._direct.read_page(prefix, start, limit)

        return await self._choose_route(
            call_relay, lambda: self._call_direct(call_direct, partition)
        )

    async def read_changes(self, prefix: str, since: int, wait: float) -> RowSet:
        """Return rows changed after a revision; wait up to ``wait`` seconds for one."""
        relayed_wait = min(wait, RELAYED_WAIT_SECONDS)
        return await self._call_readonly(
            encode_call(CHANGES, prefix=prefix, since=since, wait=relayed_wait),
            relayed_wait,
            lambda: self._direct.read_changes(prefix, since, wait),
            decode_rows,
        )

    async def list_partitions(self, table: str) -> list[str]:
        """Return the partitions of a table that have rows."""
        return await self._call_readonly(
            encode_call(PARTITIONS, table=table),
            0.0,
            lambda: self._direct.list_partitions(table),
            decode_partitions,
        )

    async def list_instances(self) -> InstanceList:
        """Return the list of live and leaving instances, which may lag behind."""
        return await self._direct.list_instances()

    async def put_object(self, name: str, data: bytes) -> None:
        """Store an object."""
        await self._direct.put_object(name, data)

    async def get_object(self, name: str) -> bytes:
        """Return an object's bytes."""
        return await self._direct.get_object(name)
