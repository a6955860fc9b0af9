"""Keeps the configuration up to date and changes it."""

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
    """Follows the platform's change feed and commits changes.

    Args:
        configuration: Records in force here.
        freshness: Age of the configuration.
        platform: Table.
        clock: Time source.
        random: Source of jitter.
        settings: Periods.
        metrics: Where changes are counted.
        explanations: Where changes are recorded.
        on_change: Called after changes took effect here.
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
        self._reached = False
        self._writes_in_flight = 0
        self._uncertain = False

    @property
    def reaches_platform(self) -> bool:
        """Whether the last read of the platform succeeded."""
        return self._reached

    @property
    def write_pending(self) -> bool:
        """Whether a change may have been accepted that is not in force here."""
        return self._writes_in_flight > 0 or self._uncertain

    @property
    def age(self) -> float:
        """Greatest possible age of the configuration in seconds."""
        return self._freshness.age(self._configuration.revision)

    def is_fresh(self) -> bool:
        """Return whether work that needs a key may be started."""
        return self._freshness.is_fresh(self._configuration.revision)

    async def _run(self) -> None:
        while True:
            try:
                wait = self._settings.feed_wait if self._reached else 0.0
                await self.catch_up(wait)
            except StoreError:
                self._set_reached(False)
                await sleep(RETRY_SECONDS * self._random.uniform(0.5, 1.0))

    async def catch_up(self, wait: float = 0.0) -> None:
        """Read all changes from the platform and put them in force.

        Args:
            wait: Seconds for which the platform may hold the query.

        Raises:
            StoreError: The platform does not answer.
        """
        asked = self._clock.monotonic()
        since = self._configuration.revision
        found = await self._platform.read_changes(CONFIGURATION_PREFIX, since, wait)
        self.take(found.rows)
        # A held query proves completeness only for the time it was asked.
        self._freshness.renew(asked)
        if self._writes_in_flight == 0:
            self._uncertain = False
        self._set_reached(True)

    def take(self, rows: list[Row]) -> None:
        """Put all changes after the present revision in force."""
        taken = self._configuration.apply(rows)
        if not taken:
            return
        self._metrics.count("configuration_change", amount=len(taken))
        self._on_change()

    def _set_reached(self, reached: bool) -> None:
        if reached != self._reached:
            logger.info("platform {}", "reached" if reached else "lost")
        self._reached = reached

    async def commit(
        self,
        change: Change,
        guards: dict[str, int] | None = None,
        nonce: str = "",
    ) -> int:
        """Commit a change of records and put it in force here.

        Args:
            change: Records to write.
            guards: Revision that further rows must have, by key.
            nonce: Identifies the change when it is repeated after a lost answer.

        Returns:
            Revision of the change.

        Raises:
            RefusalError: A record changed since it was read, or the platform
                does not answer, in which case the change may have been made.
        """
        transaction = change.make_transaction(guards or {}, nonce or uuid4().hex)
        return await self._commit(transaction, change)

    async def _commit(self, transaction: Transaction, change: Change) -> int:
        self._writes_in_flight += 1
        try:
            revision = await self._platform.commit(transaction)
            await self._catch_up_to(revision)
        except TransactionConflictError as error:
            raise RefusalError(ErrorKind.REVISION_CONFLICT, str(error)) from error
        except StoreError as error:
            self._uncertain = True
            raise RefusalError(
                ErrorKind.STORE_UNAVAILABLE,
                "the change may have been made",
                retry_after=RETRY_SECONDS,
                run=RunState.UNKNOWN,
            ) from error
        finally:
            self._writes_in_flight -= 1
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
        # The change is accepted; the feed brings it here.
        self._uncertain = True
        self._metrics.count("configuration_catch_up_late")
