"""Keeps the configuration up to date and commits changes to the platform."""

from asyncio import sleep
from collections.abc import Callable
from random import Random
from uuid import uuid4

from loguru import logger

from jujubebarrow.background_loops import BackgroundLoop
from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.configurations.configurations import (
    CONFIGURATION_PREFIX,
    Configuration,
)
from jujubebarrow.configurations.freshness import FreshnessLease
from jujubebarrow.errors.exceptions import (
    RefusalError,
    StoreError,
    TransactionConflictError,
)
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.errors.run_states import RunState
from jujubebarrow.maintenance.changes import Change
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.services.explanations import ExplanationLog
from jujubebarrow.settings.settings import Settings
from jujubebarrow.stores.rows import Row
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import Transaction

RETRY_SECONDS = 0.5
CATCH_UP_ATTEMPTS = 3


class ConfigurationService(BackgroundLoop):
    """Reads the platform's change feed and commits configuration changes.

    Args:
        configuration: Records in force in this process.
        freshness: Lease that bounds the age of the configuration.
        platform: Store that holds the configuration's records.
        clock: Time source.
        random: Source of jitter.
        settings: Settings with the wait time of the change feed.
        metrics: Registry of the counters.
        explanations: Log that records the reasons of committed changes.
        on_change: Called after changes have been applied to `configuration`.
    """

    def __init__(
        self,
        configuration: Configuration,
        freshness: FreshnessLease,
        platform: Store,
        clock: Clock,
        random: Random,
        settings: Settings,
        metrics: MetricsRegistry,
        explanations: ExplanationLog,
        on_change: Callable[[], None],
    ):
        super().__init__()
        self._configuration = configuration
        self._freshness = freshness
        self._platform = platform
        self._clock = clock
        self._random = random
        self._settings = settings
        self._metrics = metrics
        self._explanations = explanations
        self._on_change = on_change
        self._is_platform_reachable = False
        self._pending_write_count = 0
        self._has_unconfirmed_write = False

    @property
    def is_platform_reachable(self) -> bool:
        """Whether the last read of the platform succeeded."""
        return self._is_platform_reachable

    @property
    def has_pending_write(self) -> bool:
        """Whether the platform may have accepted a change that is not applied here."""
        return self._pending_write_count > 0 or self._has_unconfirmed_write

    @property
    def age(self) -> float:
        """Upper bound of the configuration's age in seconds."""
        return self._freshness.age(self._configuration.revision)

    def is_fresh(self) -> bool:
        """Return whether work that needs a key may be started."""
        return self._freshness.is_fresh(self._configuration.revision)

    async def _run(self) -> None:
        while True:
            try:
                wait = self._settings.feed_wait if self._is_platform_reachable else 0.0
                await self.catch_up(wait)
            except StoreError:
                self._set_platform_reachable(False)
                await sleep(RETRY_SECONDS * self._random.uniform(0.5, 1.0))

    async def catch_up(self, wait: float = 0.0) -> None:
        """Read all new changes from the platform and apply them.

        Args:
            wait: Seconds that the platform may wait for a change before it responds.

        Raises:
            StoreError: The platform did not respond.
        """
        requested_at = self._clock.monotonic()
        since = self._configuration.revision
        changes = await self._platform.read_changes(CONFIGURATION_PREFIX, since, wait)
        self.apply_rows(changes.rows)
        # The platform may delay its response to a long poll; the response proves that
        # the configuration was complete when the request was sent, not later.
        self._freshness.renew(requested_at)
        if self._pending_write_count == 0:
            self._has_unconfirmed_write = False
        self._set_platform_reachable(True)

    def apply_rows(self, rows: list[Row]) -> None:
        """Apply all changes after the current revision.

        Args:
            rows: All rows changed since the current revision.
        """
        applied = self._configuration.apply(rows)
        if not applied:
            return
        self._metrics.count("configuration_change", amount=len(applied))
        self._on_change()

    def _set_platform_reachable(self, is_reachable: bool) -> None:
        if is_reachable != self._is_platform_reachable:
            logger.info("platform {}", "reached" if is_reachable else "lost")
        self._is_platform_reachable = is_reachable

    async def commit(
        self,
        change: Change,
        guards: dict[str, int] | None = None,
        nonce: str = "",
    ) -> int:
        """Commit a change of records and catch up with the committed revision.

        Args:
            change: Records to write.
            guards: Revisions that further rows must have, by key.
            nonce: Identifier of the change, by which the platform recognises a repeat
                after a lost response.

        Returns:
            Revision of the committed transaction.

        Raises:
            RefusalError: A record or a guarded row has changed since it was read, or
                the platform did not respond; without a response, the change may have
                been committed.
        """
        transaction = change.make_transaction(guards or {}, nonce or uuid4().hex)
        return await self._commit(transaction, change)

    async def _commit(self, transaction: Transaction, change: Change) -> int:
        self._pending_write_count += 1
        try:
            revision = await self._platform.commit(transaction)
            await self._catch_up_to(revision)
        except TransactionConflictError as error:
            raise RefusalError(ErrorKind.REVISION_CONFLICT, str(error)) from error
        except StoreError as error:
            self._has_unconfirmed_write = True
            raise RefusalError(
                ErrorKind.STORE_UNAVAILABLE,
                "the change may have been made",
                retry_after=RETRY_SECONDS,
                run=RunState.UNKNOWN,
            ) from error
        finally:
            self._pending_write_count -= 1
        if change.reason:
            self._explanations.add(change.subject, change.reason)
        return revision

    async def _catch_up_to(self, revision: int) -> None:
        for _ in range(CATCH_UP_ATTEMPTS):
            try:
                await self.catch_up()
            except StoreError:
                self._metrics.count("retry", "configuration-catch-up")
                continue
            if self._configuration.revision >= revision:
                return
        # The platform committed the change, but this process has not read the rows yet;
        # the change feed will deliver the rows.
        self._has_unconfirmed_write = True
        self._metrics.count("configuration_catch_up_late")
