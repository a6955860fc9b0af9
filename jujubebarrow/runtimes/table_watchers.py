"""Watches the change feed of one table in the store."""

from abc import abstractmethod
from asyncio import Future, get_running_loop, sleep

from jujubebarrow.background_loops import BackgroundLoop
from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.errors.exceptions import HistoryLostError, StoreError
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.pauses import Pause
from jujubebarrow.stores.rows import Row
from jujubebarrow.stores.store_clocks import StoreClock
from jujubebarrow.stores.stores import Store

RETRY_SECONDS = 0.15
"""Seconds after a failed read before the retry; keeps a dozen watchers below the
store's rate limit."""

POLL_SECONDS = 0.02
"""Seconds between two checks whether the first revision to watch from is known."""


class TableWatcher(BackgroundLoop):
    """Reads a table once, then its change feed until closed.

    Args:
        store: Store shared by all instances.
        table: Name of the table.
        wait: Longest time in seconds that the store may delay the response to a
            request for changes while there are none.
        spacing: Minimum time in seconds between two requests.
        clock: Time source.
        log: Decision log.
        metrics: Registry of the counters.
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
        self._store_clock = StoreClock(clock)
        self._complete_at = float("-inf")
        self._pause = Pause()
        self._read_requests: list[Future[bool]] = []

    @abstractmethod
    async def apply(self, rows: list[Row], sent_at: float) -> None:
        """Apply changed rows; the list may be empty.

        Args:
            rows: Rows, oldest change first; a deleted row has no value.
            sent_at: Monotonic time in seconds at which the request was sent.
        """

    @abstractmethod
    async def reload(self) -> tuple[int, list[Row]]:
        """Read the whole table; return the revision to continue from and the rows."""

    @property
    def is_needed(self) -> bool:
        """Whether the table has to be watched."""
        return True

    def wake(self) -> None:
        """Check at once whether the table has to be watched and how often."""
        self._pause.interrupt()

    async def read_now(self) -> bool:
        """Wait for a read that begins after the call; return whether it succeeded."""
        request = get_running_loop().create_future()
        self._read_requests.append(request)
        self._pause.interrupt()
        return await request

    def clear(self) -> None:
        """Clear any copy of the table, because later changes will not be reported.

        Called while the table does not have to be watched.
        """

    @property
    def spacing(self) -> float:
        """Minimum time in seconds between two requests."""
        return self._spacing

    @property
    def wait(self) -> float:
        """Longest time in seconds that the store may delay a response."""
        return self._wait

    def estimate_store_time(self, longest_lag: float) -> float | None:
        """Return the time of the store's clock, which is never too late.

        Returns None if a change may be unreported although the store made it more than
        the longest lag before the returned time.

        Args:
            longest_lag: Longest acceptable delay of a change in seconds.
        """
        now = self._clock.monotonic()
        if now - self._complete_at > longest_lag:
            return None
        return self._store_clock.to_earliest_store_time(now)

    def record_store_time(self, sent_at: float, store_time: float) -> None:
        """Record a time of the store's clock up to which all changes are known.

        Args:
            sent_at: Monotonic time in seconds at which the request was sent.
            store_time: Store time in seconds from the response just received.
        """
        self._store_clock.record_store_time(sent_at, store_time)
        self._complete_at = self._clock.monotonic()

    def to_store_time(self, local_time: float) -> float | None:
        """Convert a local time to the store's clock; None before the first response.

        The result is never too early.
        """
        if self._complete_at == float("-inf"):
            return None
        return self._store_clock.to_store_time(local_time)

    def to_local_time(self, store_time: float) -> float:
        """Convert a time of the store's clock to local time, never too early."""
        return self._store_clock.to_local_time(store_time)

    async def wait_until_loaded(self) -> None:
        """Wait until the revision to watch from is known.

        All changes after that revision are reported.
        """
        while self._revision is None:
            await sleep(POLL_SECONDS)

    async def _run(self) -> None:
        while True:
            if not self.is_needed:
                self._revision = None
                self._complete_at = float("-inf")
                self.clear()
                await self._pause.sleep()
                continue
            sent_at = self._clock.monotonic()
            try:
                await self._read_for_requests(sent_at)
            except HistoryLostError:
                self._revision = None
                self._metrics.count("feed_history_lost", self._table)
                self._log.write("feed_history_lost", table=self._table)
                await sleep(RETRY_SECONDS)
            except StoreError as error:
                self._record_failure(sent_at, error)
                await sleep(RETRY_SECONDS)
            else:
                self._record_success(sent_at)
                elapsed = self._clock.monotonic() - sent_at
                await self._pause.sleep(self.spacing - elapsed)

    async def _read_for_requests(self, sent_at: float) -> None:
        requests, self._read_requests = self._read_requests, []
        has_succeeded = False
        try:
            await self._read_once(sent_at)
            has_succeeded = True
        finally:
            for request in requests:
                if not request.done():
                    request.set_result(has_succeeded)

    async def _read_once(self, sent_at: float) -> None:
        if self._revision is None:
            revision, rows = await self.reload()
        else:
            prefix = f"{self._table}/"
            # A request that may wait takes as much longer to time out. After a failure,
            # requests that do not wait find the store again sooner.
            wait = self.wait if self._failed_at is None else 0.0
            changes = await self._store.read_changes(prefix, self._revision, wait)
            revision, rows = changes.revision, changes.rows
            self.record_store_time(sent_at, changes.clock)
        await self.apply(rows, sent_at)
        self._revision = revision

    def _record_failure(self, sent_at: float, error: StoreError) -> None:
        self._metrics.count("feed_failed", self._table)
        if self._failed_at is None:
            self._failed_at = sent_at
            self._log.write("feed_lost", table=self._table, detail=str(error))

    def _record_success(self, sent_at: float) -> None:
        if self._failed_at is not None:
            seconds = round(sent_at - self._failed_at, 3)
            self._log.write("feed_regained", table=self._table, seconds=seconds)
            self._failed_at = None
