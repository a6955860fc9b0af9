"""Reserves a pool's grants (parts of the teams' upper limits) in the store."""

from asyncio import sleep
from collections import Counter
from collections.abc import Callable
from uuid import uuid4
from zlib import crc32

from msgspec import ValidationError

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.errors.exceptions import StoreError, TransactionConflictError
from jujubebarrow.identifiers import PoolId, TeamId
from jujubebarrow.limits.grant_planners import GrantPlan, plan_grant
from jujubebarrow.limits.grant_registries import GrantRegistry
from jujubebarrow.limits.grant_rows import GrantRow, PoolGrant
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.grant_listeners import GrantListener
from jujubebarrow.runtimes.grant_watchers import GrantWatcher
from jujubebarrow.runtimes.progress_writers import DisplacedError
from jujubebarrow.stores.row_keys import TableName, make_key
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import ABSENT_REVISION, Transaction
from jujubebarrow.workloads.identifiers import FenceToken
from jujubebarrow.workloads.resources import NO_RESOURCES, Resources

UPDATE_PERIOD_SECONDS = 0.1
"""Time between two checks for grants to change."""
RELEASE_PERIOD_SECONDS = 4.0
"""Time between two checks for unused grants to release if no other pool waits."""
CONFLICT_ATTEMPTS = 3
"""Most attempts to change a row that other pools change at the same time, before the
next check tries again."""
GRANT_NAME = "grant"
SHORTAGE_LOG_SECONDS = 1.0
"""Seconds for which a request is not met before the first line about it."""
LOGGED_DETAIL_LIMIT = 120
"""Most characters of an error in a line."""
LOGGED_REQUESTS_LIMIT = 5
"""Most requests of a team in a line."""


class GrantController(GrantListener):
    """Raises and lowers the grants of one pool.

    A team's row holds the grant of each pool and the fencing token of that pool's
    owner, so a superseded owner can no longer change a grant. A pool that waits for a
    grant is marked in the row, and the other pools then release what they do not use.

    Args:
        pool: Pool whose grants are adjusted.
        token: Fencing token of the pool's owner.
        registry: Grants of the pool and their current use.
        store: Store that holds the teams' rows.
        watcher: Reports changed rows.
        on_granted: Called after a grant was changed because resources were requested.
        on_superseded: Called when another instance has taken over the pool.
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
        watcher: GrantWatcher,
        on_granted: Callable[[], None],
        on_superseded: Callable[[], None],
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        self._pool = pool
        self._token = token
        self._registry = registry
        self._store = store
        self._watcher = watcher
        self._on_granted = on_granted
        self._on_superseded = on_superseded
        self._clock = clock
        self._log = log
        self._metrics = metrics
        # Teams whose stored grant certainly is the one in the registry and carries this
        # owner's token, each with the upper limit that the grant was computed from.
        self._confirmed: dict[TeamId, Resources] = {}
        # Teams whose row marks another pool as waiting.
        self._awaited: set[TeamId] = set()
        # Teams whose row may mark this pool as waiting.
        self._marked: set[TeamId] = set()
        # This pool's grant in the row of a team that was last read or reported.
        self._stored: dict[TeamId, Resources] = {}
        self._release_checks: set[TeamId] = set()
        self._release_checked_at = clock.monotonic()
        self._failure_counts: Counter[TeamId] = Counter()
        # Since when a team's request is not met, and the next age to log.
        self._shortages: dict[TeamId, tuple[float, float]] = {}

    async def run(self) -> None:
        """Adjust grants to the requested resources until cancelled or superseded."""
        self._watcher.add_listener(self)
        try:
            while True:
                urgent = self._list_urgent()
                for team in urgent:
                    await self._try_adjust(team)
                # One team each time, so that requests need not wait for all teams, and
                # owners that start together keep within the rates of the store.
                overdue = self._choose_overdue(urgent)
                if overdue is not None:
                    await self._try_adjust(overdue)
                await sleep(UPDATE_PERIOD_SECONDS)
        except DisplacedError:
            self._on_superseded()
        finally:
            self._watcher.remove_listener(self)

    def on_grants_changed(self, team: TeamId, row: GrantRow) -> None:
        """Handle a changed row of a team."""
        self._record_waiting_pools(team, row)

    def on_grants_skipped(self) -> None:
        """Handle that some changes will not be reported."""
        self._release_checks.update(self._registry.teams_with_surplus())

    def _record_waiting_pools(self, team: TeamId, row: GrantRow) -> None:
        is_awaited = row.is_awaited_by_others(self._pool)
        (self._awaited.add if is_awaited else self._awaited.discard)(team)
        if self._pool in row.pools:
            self._stored[team] = row.pools[self._pool].granted

    def _list_urgent(self) -> list[TeamId]:
        """Return the teams for which runs wait, here or in another pool."""
        urgent = dict.fromkeys(self._registry.requesting_teams())
        for team in self._awaited:
            if self._registry.has_surplus(team) or self._has_stored_surplus(team):
                urgent[team] = None
        return list(urgent)

    def _has_stored_surplus(self, team: TeamId) -> bool:
        """Return whether an unconfirmed grant in the store exceeds what runs use."""
        stored = self._stored.get(team, NO_RESOURCES)
        return team not in self._confirmed and not stored.fits(
            self._registry.used(team)
        )

    def _choose_overdue(self, urgent: list[TeamId]) -> TeamId | None:
        """Return another team whose grant has to be checked, if there is one."""
        now = self._clock.monotonic()
        if now - self._release_checked_at > RELEASE_PERIOD_SECONDS:
            self._release_checked_at = now
            self._release_checks.update(self._registry.teams_with_surplus())
        overdue = self._release_checks | self._marked.difference(
            self._registry.requesting_teams()
        )
        overdue.update(
            team
            for team in {*self._confirmed, *self._registry.limited_teams()}
            if self._confirmed.get(team) != self._registry.limit(team)
        )
        overdue.difference_update(urgent)
        # Pools that start together take the teams in different orders, so that they do
        # not all change the same row.
        return min(
            overdue,
            key=lambda team: (
                self._failure_counts[team],
                crc32(f"{self._pool}/{team}".encode()),
            ),
            default=None,
        )

    async def _try_adjust(self, team: TeamId) -> None:
        self._release_checks.discard(team)
        for _ in range(CONFLICT_ATTEMPTS):
            try:
                await self._adjust(team)
            except TransactionConflictError:
                self._metrics.count("retry", "grant")
                self._log_failure(team, "conflict")
            except StoreError as error:
                self._metrics.count("grant_failed", "store")
                self._log_failure(team, str(error))
                return
            else:
                self._failure_counts.pop(team, None)
                return

    async def _adjust(self, team: TeamId) -> None:
        key = make_key(TableName.GRANTS, team, GRANT_NAME)
        found = await self._store.read(key)
        row = next((row for row in found.rows if row.key == key), None)
        try:
            grants = GrantRow.from_document(row.value if row else None)
        except ValidationError as error:
            # Without the grants of the other pools, nothing can be granted.
            self._metrics.count("row_unreadable", TableName.GRANTS.value)
            raise StoreError(f"unreadable grants: {error}", False) from error
        self._record_waiting_pools(team, grants)
        stored = grants.pools.get(self._pool, PoolGrant(FenceToken(0), NO_RESOURCES))
        if stored.token > self._token:
            self._metrics.count("grant_failed", "displaced")
            raise DisplacedError
        limit = self._registry.limit(team)
        requests = list(self._registry.requests(team))
        plan = plan_grant(
            limit,
            grants.sum_other_grants(self._pool),
            self._registry.used(team),
            requests,
            team in self._awaited,
        )
        self._record_shortage(team, plan, grants)
        changed = grants.replace_pool(
            self._pool, PoolGrant(self._token, plan.granted), plan.is_waiting
        )
        # An unconfirmed grant is always written, as an earlier write may still take
        # effect as long as the row has not changed.
        if changed == grants and team in self._confirmed:
            self._confirmed[team] = limit
            if not plan.is_waiting:
                self._marked.discard(team)
            self._registry.set_granted(team, plan.granted, plan.usable)
            return
        # Resources that are being released must not be used while the write is in
        # progress.
        self._registry.set_granted(
            team,
            _compute_minimum(self._registry.granted(team), plan.granted),
            _compute_minimum(self._registry.usable(team), plan.usable),
        )
        self._confirmed.pop(team, None)
        self._marked.add(team)
        transaction = Transaction(
            conditions={key: row.revision if row else ABSENT_REVISION},
            writes={key: changed.to_document()},
            nonce=uuid4().hex,
        )
        await self._store.commit(transaction)
        self._confirmed[team] = limit
        if not plan.is_waiting:
            self._marked.discard(team)
        self._registry.set_granted(team, plan.granted, plan.usable)
        self._metrics.count("grant_changed")
        if requests and not plan.is_waiting:
            self._on_granted()

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

    def _record_shortage(self, team: TeamId, plan: GrantPlan, row: GrantRow) -> None:
        """Log a request that is not met, after a second and each doubling."""
        if not plan.is_waiting:
            self._shortages.pop(team, None)
            return
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
            requests=self._registry.requests(team)[:LOGGED_REQUESTS_LIMIT],
            used=self._registry.used(team),
            limit=self._registry.limit(team),
            grants={
                pool: [grant.token, *grant.granted] for pool, grant in row.pools.items()
            },
        )


def _compute_minimum(first: Resources, second: Resources) -> Resources:
    return Resources(*(min(pair) for pair in zip(first, second, strict=True)))
