"""Deletes claims that are no longer kept."""

from uuid import uuid4

from jujubebarrow.claims.claims import (
    CLAIM_PREFIX,
    RETENTION_DAYS,
    claim_day,
    day_prefix,
)
from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.errors.exceptions import TransactionConflictError
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import Transaction

PURGE_ROWS = 200
"""Most claims deleted in one transaction."""
PURGE_PERIOD_SECONDS = 5.0


class ClaimPurger:
    """Deletes old claims, a bounded number at a time.

    Args:
        platform: Table.
        clock: Time source.
        metrics: Where deleted claims are counted.
    """

    def __init__(self, platform: Store, clock: Clock, metrics: MetricsRegistry):
        self._platform = platform
        self._clock = clock
        self._metrics = metrics
        self._due = float("-inf")

    async def purge(self) -> None:
        """Delete some old claims, if it is time to.

        Raises:
            StoreError: The platform does not answer.
        """
        now = self._clock.monotonic()
        if now < self._due:
            return
        self._due = now + PURGE_PERIOD_SECONDS
        # Keys begin with the day, so that the oldest claims come first.
        found = await self._platform.read(CLAIM_PREFIX, PURGE_ROWS)
        first_kept = day_prefix(claim_day(self._clock.wall()) - RETENTION_DAYS)
        old = [row for row in found.rows if row.key < first_kept]
        if not old:
            return
        transaction = Transaction(
            conditions={row.key: row.revision for row in old},
            writes={row.key: None for row in old},
            nonce=uuid4().hex,
        )
        try:
            await self._platform.commit(transaction)
        except TransactionConflictError:
            # Another holder of the control lease has purged them meanwhile.
            self._metrics.count("claim_purge_conflict")
            return
        self._metrics.count("claim_purged", amount=len(old))
        if len(old) == PURGE_ROWS:
            # There are more of them.
            self._due = now
