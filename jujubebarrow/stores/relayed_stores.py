"""Store client that relays calls through another instance when direct calls fail.

A store may refuse calls from single instances, or the network links of single
instances to the store may fail, while other instances still reach the store. With the
relay, the owner of a pool continues immediately. Without the relay, the pool would have
no working owner until the lease had expired and another instance had taken over.
"""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any, TypeVar

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.errors.exceptions import (
    HistoryLostError,
    SlowResponseError,
    StoreError,
)
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.stores.commit_results import CommitResult
from jujubebarrow.stores.instance_lists import InstanceList
from jujubebarrow.stores.paged_readers import PagedReader
from jujubebarrow.stores.read_throttles import ReadThrottle
from jujubebarrow.stores.relay_messages import (
    CHANGES,
    PAGE,
    PARTITIONS,
    decode_commit,
    decode_page,
    decode_rows,
    encode_call,
    encode_commit,
)
from jujubebarrow.stores.row_pages import RowPage
from jujubebarrow.stores.rows import RowSet
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import Transaction

DIRECT_BACKOFF_SECONDS = 1.0
"""Time after a failed direct call in which no further direct call is tried while
another instance can relay."""
RELAY_BACKOFF_SECONDS = 1.0
"""Time after a failed relayed call in which the same instance is not used again."""
RELAY_ATTEMPTS = 2
"""Limit on the instances that are tried for one read-only call."""

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
        self._random = random
        self._clock = clock
        self._log = log
        self._direct_retry_at = float("-inf")
        self._relay_retry_at: dict[str, float] = {}
        self._is_relaying = False
        self._peer_addresses: list[str] = []

    def set_peer_addresses(self, addresses: list[str]) -> None:
        """Set the addresses of the other live instances, which may relay calls."""
        self._peer_addresses = addresses

    def _choose_relays(self) -> list[str]:
        """Return instances that may relay a call; none if a direct call is due."""
        now = self._clock.monotonic()
        if now >= self._direct_retry_at:
            return []
        candidates = [
            address
            for address in self._peer_addresses
            if now >= self._relay_retry_at.get(address, float("-inf"))
        ]
        self._random.shuffle(candidates)
        return candidates[:RELAY_ATTEMPTS]

    def _record_direct_result(self, error: StoreError | None) -> None:
        if error is not None:
            self._direct_retry_at = self._clock.monotonic() + DIRECT_BACKOFF_SECONDS
        if self._is_relaying == (error is not None):
            return
        self._is_relaying = error is not None
        self._log.write(
            "store_relayed" if error is not None else "store_direct",
            detail=str(error) if error is not None else "",
            instances=len(self._peer_addresses),
        )

    async def _call_relay(self, address: str, body: bytes, wait: float = 0.0) -> Any:
        self._metrics.count("store_relay")
        try:
            return await self._relay.call(address, body, wait)
        except (HistoryLostError, SlowResponseError):
            raise
        except StoreError:
            self._metrics.count("store_relay_failed")
            self._relay_retry_at[address] = (
                self._clock.monotonic() + RELAY_BACKOFF_SECONDS
            )
            raise

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

        return await self._choose_route(call_relay, call_direct)

    async def _choose_route(
        self,
        call_relay: Callable[[str], Awaitable[Result]],
        call_direct: Callable[[], Awaitable[Result]],
    ) -> Result:
        for address in self._choose_relays():
            try:
                return await call_relay(address)
            except (HistoryLostError, SlowResponseError):
                raise
            except StoreError:
                # The next instance or the direct call may still succeed.
                self._metrics.count("retry", "relay")
        try:
            result = await call_direct()
        except (HistoryLostError, SlowResponseError):
            # The store is reachable.
            raise
        except StoreError as error:
            self._record_direct_result(error)
            raise
        self._record_direct_result(None)
        return result

    async def try_commit(self, transaction: Transaction) -> CommitResult:
        """Send a transaction once and return the result."""
        relays = self._choose_relays()
        if relays:
            return decode_commit(
                await self._call_relay(relays[0], encode_commit(transaction))
            )
        try:
            result = await self._direct.try_commit(transaction)
        except SlowResponseError:
            raise
        except StoreError as error:
            self._record_direct_result(error)
            raise
        self._record_direct_result(None)
        return result

    async def read(self, prefix: str, limit: int = 0) -> RowSet:
        """Return the rows whose key starts with a prefix."""
        return await self._reader.read(prefix, limit)

    async def read_page(self, prefix: str, start: str, limit: int) -> RowPage:
        """Return a part of the rows whose key starts with a prefix."""

        async def call_relay(address: str) -> RowPage:
            async def fetch(row_limit: int) -> RowPage:
                body = encode_call(PAGE, prefix=prefix, start=start, limit=row_limit)
                return decode_page(await self._call_relay(address, body))

            return await self._throttle.read_page(prefix, start, limit, fetch)

        return await self._choose_route(
            call_relay, lambda: self._direct.read_page(prefix, start, limit)
        )

    async def read_changes(self, prefix: str, since: int, wait: float) -> RowSet:
        """Return rows changed after a revision; wait up to ``wait`` seconds for one."""
        return await self._call_readonly(
            encode_call(CHANGES, prefix=prefix, since=since, wait=wait),
            wait,
            lambda: self._direct.read_changes(prefix, since, wait),
            decode_rows,
        )

    async def list_partitions(self, table: str) -> list[str]:
        """Return the partitions of a table that have rows."""
        return await self._call_readonly(
            encode_call(PARTITIONS, table=table),
            0.0,
            lambda: self._direct.list_partitions(table),
            list,
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
