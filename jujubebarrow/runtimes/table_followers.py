"""Follows the changes of one table."""

from abc import abstractmethod
from asyncio import sleep

from jujubebarrow.background_loops import BackgroundLoop
from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.errors.exceptions import HistoryLostError, StoreError
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.stores.rows import Row
from jujubebarrow.stores.stores import Store

RETRY_SECONDS = 0.15
"""Pause after a failed read; keeps a dozen followers below the store's rate."""

POLL_SECONDS = 0.02
"""Pause between two looks at whether a table has to be followed."""


class TableFollower(BackgroundLoop):
    """Reads a table once and then its changes, for as long as it is open.

    Args:
        store: Store.
        table: Table.
        wait: How long in seconds the store may hold a question for changes.
        spacing: Least time in seconds between two questions.
        clock: Time source.
        log: Log of decisions.
        metrics: Counters.
    """

    def __init__(
        self,
        store: Store,
        table: str,
        wait: float,
        spacing: float,
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        super().__init__()
        self._store = store
        self._table = table
        self._wait = wait
        self._spacing = spacing
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._revision: int | None = None
        self._failed_at: float | None = None

    @abstractmethod
    async def apply(self, rows: list[Row], sent_at: float) -> None:
        """Take over changed rows, perhaps none.

        Args:
            rows: Rows, oldest change first; a deleted row has no value.
            sent_at: Time in seconds at which the question left.
        """

    @abstractmethod
    async def reload(self) -> tuple[int, list[Row]]:
        """Read the whole table; return the revision to go on from, and its rows."""

    @property
    def is_needed(self) -> bool:
        """Whether anybody wants to know of changes."""
        return True

    def forget(self) -> None:
        """Drop what is known, as later changes will not be told."""

    @property
    def spacing(self) -> float:
        """Least time in seconds between two questions."""
        return self._spacing

    async def wait_until_followed(self) -> None:
        """Wait until every later change will be told."""
        while self._revision is None:
            await sleep(POLL_SECONDS)

    async def _run(self) -> None:
        while True:
            if not self.is_needed:
                self._revision = None
                self.forget()
                await sleep(POLL_SECONDS)
                continue
            started = self._clock.monotonic()
            try:
                await self._step(started)
            except HistoryLostError:
                self._revision = None
                self._metrics.count("feed_history_lost", self._table)
                self._log.write("feed_history_lost", table=self._table)
                await sleep(RETRY_SECONDS)
            except StoreError as error:
                self._note_failure(started, error)
                await sleep(RETRY_SECONDS)
            else:
                self._note_success(started)
                spent = self._clock.monotonic() - started
                await sleep(max(0.0, self.spacing - spent))

    async def _step(self, started: float) -> None:
        if self._revision is None:
            revision, rows = await self.reload()
        else:
            prefix = f"{self._table}/"
            changes = await self._store.read_changes(prefix, self._revision, self._wait)
            revision, rows = changes.revision, changes.rows
        await self.apply(rows, started)
        self._revision = revision

    def _note_failure(self, started: float, error: StoreError) -> None:
        self._metrics.count("feed_failed", self._table)
        if self._failed_at is None:
            self._failed_at = started
            self._log.write("feed_lost", table=self._table, detail=str(error))

    def _note_success(self, started: float) -> None:
        if self._failed_at is not None:
            seconds = round(started - self._failed_at, 3)
            self._log.write("feed_regained", table=self._table, seconds=seconds)
            self._failed_at = None
