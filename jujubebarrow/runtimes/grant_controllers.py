"""Reserves a pool's grants (parts of the teams' upper limits) in the store."""

from asyncio import sleep
from collections import Counter
from collections.abc import Callable
from typing import Any
from uuid import uuid4

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.errors.exceptions import StoreError, TransactionConflictError
from jujubebarrow.identifiers import PoolId, TeamId
from jujubebarrow.limits.grant_registries import GrantRegistry, compute_grant
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.stores.row_keys import TableName, make_key
from jujubebarrow.stores.rows import Row
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import ABSENT_REVISION, Transaction
from jujubebarrow.workloads.identifiers import FenceToken
from jujubebarrow.workloads.resources import NO_RESOURCES, Resources

UPDATE_PERIOD_SECONDS = 0.1
"""Time between two checks for requested increases of grants."""
RELEASE_PERIOD_SECONDS = 4.0
"""Time between two checks for unused grants to release."""
LIMIT_CHUNK_COUNT = 12
"""Number of chunks in which a team's limit is granted; more chunks would cause more
writes."""
GRANT_NAME = "grant"
SHORTAGE_LOG_SECONDS = 1.0
"""Seconds for which a request is not met before the first line about it."""
LOGGED_DETAIL_LIMIT = 120
"""Most characters of an error in a line."""


class GrantController:
    """Raises and lowers the grants of one pool.

    A team's row holds the grant of each pool and the fencing token of that pool's
    owner, so a superseded owner can no longer change a grant.

    Args:
        pool: Pool whose grants are adjusted.
        token: Fencing token of the pool's owner.
        registry: Grants of the pool and their current use.
        store: Store that holds the teams' rows.
        on_granted: Called after a grant was changed because resources were requested.
        clock: Time source.
        log: Decision log.
        metrics: Registry of the counters.
    """

    def __init__(
        self,
        pool: PoolId,
        token: FenceToken,
        registry: GrantRegistry,
        store: Store,
        on_granted: Callable[[], None],
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        self._pool = pool
        self._token = token
        self._registry = registry
        self._store = store
        self._on_granted = on_granted
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._release_checked_at = clock.monotonic()
        self._failure_counts: Counter[TeamId] = Counter()
        # Since when a team's request is not met, and the next age to log.
        self._shortages: dict[TeamId, tuple[float, float]] = {}

    async def run(self) -> None:
        """Adjust grants to the requested resources until cancelled."""
        for team in self._registry.limited_teams():
            await self._try_adjust(team, NO_RESOURCES)
        while True:
            requested = self._registry.pop_requested()
            now = self._clock.monotonic()
            if now - self._release_checked_at > RELEASE_PERIOD_SECONDS:
                self._release_checked_at = now
                requested = (
                    dict.fromkeys(self._registry.teams(), NO_RESOURCES) | requested
                )
            for team, amount in requested.items():
                await self._try_adjust(team, amount)
            await sleep(UPDATE_PERIOD_SECONDS)

    async def _try_adjust(self, team: TeamId, requested: Resources) -> None:
        try:
            await self._adjust(team, requested)
        except StoreError as error:
            self._metrics.count("grant_failed", "store")
            self._log_failure(team, str(error))
        except TransactionConflictError:
            self._metrics.count("retry", "grant")
            self._log_failure(team, "conflict")
        else:
            self._failure_counts.pop(team, None)

    def _log_failure(self, team: TeamId, detail: str) -> None:
        self._failure_counts[team] += 1
        attempts = self._failure_counts[team]
        if attempts.bit_count() > 1:
            # The first attempt and then each doubling of the attempts are logged.
            return
        self._log.write(
            "grant_failed",
            pool=self._pool,
            team=team,
            token=self._token,
            detail=detail[:LOGGED_DETAIL_LIMIT],
            attempts=attempts,
        )

    def _log_shortage(
        self, team: TeamId, requested: Resources, pools: dict[str, Any]
    ) -> None:
        now = self._clock.monotonic()
        since, due_age = self._shortages.setdefault(team, (now, SHORTAGE_LOG_SECONDS))
        if now - since < due_age:
            return
        self._shortages[team] = (since, 2 * due_age)
        self._log.write(
            "grant_short",
            pool=self._pool,
            team=team,
            seconds=round(now - since, 1),
            requested=requested,
            used=self._registry.used(team),
            limit=self._registry.limit(team),
            grants=pools,
        )

    async def _adjust(self, team: TeamId, requested: Resources) -> None:
        key = make_key(TableName.GRANTS, team, GRANT_NAME)
        row = await self._read_row(key)
        pools: dict[str, Any] = dict((row.value or {}).get("pools", {})) if row else {}
        pool_entry = pools.get(self._pool)
        if pool_entry is not None and pool_entry[0] > self._token:
            self._metrics.count("grant_failed", "displaced")
            return
        granted_elsewhere = NO_RESOURCES
        for pool, entry in pools.items():
            if pool != self._pool:
                granted_elsewhere = granted_elsewhere.plus(Resources(*entry[1:]))
        limit = self._registry.limit(team)
        used = self._registry.used(team)
        granted = compute_grant(
            limit, granted_elsewhere, used, requested, LIMIT_CHUNK_COUNT
        )
        if any(requested) and granted == self._registry.granted(team):
            self._log_shortage(team, requested, pools)
        else:
            self._shortages.pop(team, None)
        stored = Resources(*pool_entry[1:]) if pool_entry is not None else NO_RESOURCES
        is_token_missing = pool_entry is None or pool_entry[0] != self._token
        if granted == stored and not is_token_missing:
            self._registry.set_granted(team, granted)
            return
        pools[self._pool] = [self._token, *granted]
        # Resources that are being released must not be used while the write is in
        # progress.
        previous = self._registry.granted(team)
        self._registry.set_granted(team, _compute_minimum(previous, granted))
        transaction = Transaction(
            conditions={key: row.revision if row else ABSENT_REVISION},
            writes={key: {"pools": pools}},
            nonce=uuid4().hex,
        )
        await self._store.commit(transaction)
        self._registry.set_granted(team, granted)
        self._metrics.count("grant_changed")
        if any(requested):
            self._on_granted()

    async def _read_row(self, key: str) -> Row | None:
        found = await self._store.read(key)
        return next((row for row in found.rows if row.key == key), None)


def _compute_minimum(first: Resources, second: Resources) -> Resources:
    return Resources(*(min(pair) for pair in zip(first, second, strict=True)))
