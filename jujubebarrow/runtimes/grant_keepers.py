"""Reserves a pool's parts of the teams' upper limits in the store."""

from asyncio import sleep
from collections.abc import Callable
from typing import Any
from uuid import uuid4

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.errors.exceptions import StoreError, TransactionConflictError
from jujubebarrow.identifiers import PoolId, TeamId
from jujubebarrow.limits.grant_books import GrantBook, share_out
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.stores.row_keys import TableName, make_key
from jujubebarrow.stores.rows import Row
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import ABSENT, Transaction
from jujubebarrow.workloads.identifiers import FenceToken
from jujubebarrow.workloads.resources import NOTHING, Resources

PERIOD = 0.1
"""Seconds between two looks at what is wanted."""
IDLE_PERIOD = 4.0
"""Seconds between two looks at grants that could be given back."""
PARTS = 12
"""Chunks that a limit is handed out in; more would mean more writes."""
GRANT_NAME = "grant"


class GrantKeeper:
    """Raises and lowers the grants of one pool.

    The row of a team holds the grant of each pool and the token of the pool's
    owner, so an owner that was displaced does not change a grant any more.

    Args:
        pool: Pool.
        token: Fencing token of the owner.
        book: Grants and use.
        store: Store.
        on_granted: Called when a grant has grown.
        clock: Time source.
        log: Log of decisions.
        metrics: Counters.
    """

    def __init__(
        self,
        pool: PoolId,
        token: FenceToken,
        book: GrantBook,
        store: Store,
        on_granted: Callable[[], None],
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        self._pool = pool
        self._token = token
        self._book = book
        self._store = store
        self._on_granted = on_granted
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._idle_at = clock.monotonic()

    async def run(self) -> None:
        """Serve what is wanted until cancelled."""
        for team in self._book.limited_teams():
            await self._serve(team, NOTHING)
        while True:
            wanted = self._book.take_wanted()
            now = self._clock.monotonic()
            if now - self._idle_at > IDLE_PERIOD:
                self._idle_at = now
                wanted = dict.fromkeys(self._book.teams(), NOTHING) | wanted
            for team, amount in wanted.items():
                await self._serve(team, amount)
            await sleep(PERIOD)

    async def _serve(self, team: TeamId, wanted: Resources) -> None:
        try:
            await self._adjust(team, wanted)
        except StoreError:
            self._metrics.count("grant_failed", "store")
        except TransactionConflictError:
            self._metrics.count("retry", "grant")

    async def _adjust(self, team: TeamId, wanted: Resources) -> None:
        key = make_key(TableName.GRANTS, team, GRANT_NAME)
        row = await self._read(key)
        pools: dict[str, Any] = dict((row.value or {}).get("pools", {})) if row else {}
        own = pools.get(self._pool)
        if own is not None and own[0] > self._token:
            self._metrics.count("grant_failed", "displaced")
            return
        others = NOTHING
        for pool, entry in pools.items():
            if pool != self._pool:
                others = others.plus(Resources(*entry[1:]))
        limit = self._book.limit(team)
        used = self._book.used(team)
        granted = share_out(limit, others, used, wanted, PARTS)
        stored = Resources(*own[1:]) if own is not None else NOTHING
        is_new = own is None or own[0] != self._token
        if granted == stored and not is_new:
            self._book.set_granted(team, granted)
            return
        pools[self._pool] = [self._token, *granted]
        # What is given back may no longer be used while the write is under way.
        before = self._book.granted(team)
        self._book.set_granted(team, _least(before, granted))
        transaction = Transaction(
            conditions={key: row.revision if row else ABSENT},
            writes={key: {"pools": pools}},
            nonce=uuid4().hex,
        )
        await self._store.commit(transaction)
        self._book.set_granted(team, granted)
        self._metrics.count("grant_changed")
        if any(wanted):
            self._on_granted()

    async def _read(self, key: str) -> Row | None:
        found = await self._store.read(key)
        return next((row for row in found.rows if row.key == key), None)


def _least(first: Resources, second: Resources) -> Resources:
    return Resources(*(min(pair) for pair in zip(first, second, strict=True)))
