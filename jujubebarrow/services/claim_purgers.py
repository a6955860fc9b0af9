"""Deletes claims whose retention period has ended."""

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
"""Maximum number of claims deleted in one transaction."""
PURGE_PERIOD_SECONDS = 5.0


class ClaimPurger:
    """Deletes expired claims in batches of limited size.

    Args:
        platform: Store that holds the claims' table.
        clock: Time source.
        metrics: Registry of the counters.
    """

    def __init__(self, platform: Store, clock: Clock, metrics: MetricsRegistry):
        self._platform = platform
        self._clock = clock
        self._metrics = metrics
        self._next_purge_at = float("-inf")

    async def purge(self) -> None:
        """Delete a batch of expired claims if the purge period has elapsed.

        Raises:
            StoreError: The platform did not respond.
        """
        now = self._clock.monotonic()
        if now < self._next_purge_at:
            return
        self._next_purge_at = now + PURGE_PERIOD_SECONDS
        # Keys begin with the day, hence the read returns the oldest claims first.
        oldest = await self._platform.read(CLAIM_PREFIX, PURGE_ROWS)
        first_kept_key = day_prefix(claim_day(self._clock.wall()) - RETENTION_DAYS)
        expired = [row for row in oldest.rows if row.key < first_kept_key]
        if not expired:
            return
        transaction = Transaction(
            conditions={row.key: row.revision for row in expired},
            writes={row.key: None for row in expired},
            nonce=uuid4().hex,
        )
        try:
            await self._platform.commit(transaction)
        except TransactionConflictError:
            # A claim has changed since the read, for instance because another holder of
            # the control lease has deleted the claim.
            self._metrics.count("claim_purge_conflict")
            return
        self._metrics.count("claim_purged", amount=len(expired))
        if len(expired) == PURGE_ROWS:
            # A full batch means that further claims may have expired, hence the next
            # call deletes the next batch without waiting.
            self._next_purge_at = now
