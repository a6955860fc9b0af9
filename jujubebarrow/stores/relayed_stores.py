"""Store that is reached through another instance when the own way fails.

Answers a store that turns single instances away, or links to it that are cut, while
others reach it: an owner of a pool then goes on at once, not only after its lease
has ended and another instance has taken over.
"""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any, TypeVar

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.errors.exceptions import HistoryLostError, StoreError
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.stores.commit_answers import CommitAnswer
from jujubebarrow.stores.listings import Listing
from jujubebarrow.stores.relay_messages import (
    CHANGES,
    PARTITIONS,
    READ,
    decode_commit,
    decode_rows,
    encode_call,
    encode_commit,
)
from jujubebarrow.stores.rows import RowSet
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import Transaction

DIRECT_PAUSE = 1.0
"""Seconds after a failed call in which the own way to the store is not tried."""
RELAY_PAUSE = 1.0
"""Seconds after a failed call in which the same instance is not asked again."""
RELAY_ATTEMPTS = 2
"""Instances asked for one call that changes nothing."""

Answer = TypeVar("Answer")


class RelayClient(ABC):
    """Asks another instance to make a call to the store."""

    @abstractmethod
    async def call(self, address: str, body: bytes, wait: float) -> Any:
        """Return the answer of the store.

        Args:
            address: IP and port of the other instance.
            body: Relayed call.
            wait: How long in seconds the store may hold the call.

        Raises:
            StoreError: No answer, or the store did not answer that instance.
        """


class RelayedStore(Store):
    """Way to the store, direct while that works.

    Args:
        direct: This instance's own way to the store.
        relay: Asks other instances.
        random: Spreads calls over them.
        clock: Time source.
        log: Log of decisions.
        metrics: Counters.
    """

    commit_attempts = 3

    def __init__(
        self,
        direct: Store,
        relay: RelayClient,
        random: Random,
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        super().__init__(metrics)
        self._direct = direct
        self._relay = relay
        self._random = random
        self._clock = clock
        self._log = log
        self._direct_from = float("-inf")
        self._relay_from: dict[str, float] = {}
        self._relaying = False
        self._addresses: list[str] = []

    def set_addresses(self, addresses: list[str]) -> None:
        """Take over where the other live instances can be reached."""
        self._addresses = addresses

    def _choose_relays(self) -> list[str]:
        """Return the instances to ask; none while the own way is to be used."""
        now = self._clock.monotonic()
        if now >= self._direct_from:
            return []
        usable = [
            address
            for address in self._addresses
            if now >= self._relay_from.get(address, float("-inf"))
        ]
        self._random.shuffle(usable)
        return usable[:RELAY_ATTEMPTS]

    def _note_direct(self, error: StoreError | None) -> None:
        if error is not None:
            self._direct_from = self._clock.monotonic() + DIRECT_PAUSE
        if self._relaying == (error is not None):
            return
        self._relaying = error is not None
        self._log.write(
            "store_relayed" if error is not None else "store_direct",
            detail=str(error) if error is not None else "",
            instances=len(self._addresses),
        )

    async def _ask(self, address: str, body: bytes, wait: float = 0.0) -> Any:
        self._metrics.count("store_relay")
        try:
            return await self._relay.call(address, body, wait)
        except HistoryLostError:
            raise
        except StoreError:
            self._metrics.count("store_relay_failed")
            self._relay_from[address] = self._clock.monotonic() + RELAY_PAUSE
            raise

    async def _read(
        self,
        body: bytes,
        wait: float,
        direct: Callable[[], Awaitable[Answer]],
        decode: Callable[[Any], Answer],
    ) -> Answer:
        """Make a call that changes nothing, on any way that works."""
        for address in self._choose_relays():
            try:
                return decode(await self._ask(address, body, wait))
            except HistoryLostError:
                raise
            except StoreError:
                # Another instance, or the own way, may do.
                self._metrics.count("retry", "relay")
        try:
            answer = await direct()
        except HistoryLostError:
            raise
        except StoreError as error:
            self._note_direct(error)
            raise
        self._note_direct(None)
        return answer

    async def try_commit(self, transaction: Transaction) -> CommitAnswer:
        """Send a transaction once and return the answer."""
        relays = self._choose_relays()
        if relays:
            return decode_commit(await self._ask(relays[0], encode_commit(transaction)))
        try:
            answer = await self._direct.try_commit(transaction)
        except StoreError as error:
            self._note_direct(error)
            raise
        self._note_direct(None)
        return answer

    async def read(self, prefix: str, limit: int = 0) -> RowSet:
        """Return the rows whose key starts with a prefix."""
        return await self._read(
            encode_call(READ, prefix=prefix, limit=limit),
            0.0,
            lambda: self._direct.read(prefix, limit),
            decode_rows,
        )

    async def read_changes(self, prefix: str, since: int, wait: float) -> RowSet:
        """Return rows changed after a revision, waiting some seconds for one."""
        return await self._read(
            encode_call(CHANGES, prefix=prefix, since=since, wait=wait),
            wait,
            lambda: self._direct.read_changes(prefix, since, wait),
            decode_rows,
        )

    async def list_partitions(self, table: str) -> list[str]:
        """Return the partitions of a table that have rows."""
        return await self._read(
            encode_call(PARTITIONS, table=table),
            0.0,
            lambda: self._direct.list_partitions(table),
            list,
        )

    async def list_instances(self) -> Listing:
        """Return the lagging list of live and leaving instances."""
        return await self._direct.list_instances()

    async def put_object(self, name: str, data: bytes) -> None:
        """Store an object."""
        await self._direct.put_object(name, data)

    async def get_object(self, name: str) -> bytes:
        """Return an object's bytes."""
        return await self._direct.get_object(name)
