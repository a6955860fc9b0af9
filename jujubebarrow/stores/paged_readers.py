"""Reads all rows under a prefix page by page."""

from asyncio import sleep
from collections.abc import Awaitable, Callable

from jujubebarrow.errors.exceptions import SlowResponseError, StoreError
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.stores.row_keys import RowKey
from jujubebarrow.stores.row_pages import RowPage
from jujubebarrow.stores.rows import Row, RowSet

PAGE_ATTEMPTS = 3
"""Limit on the attempts to read one page."""
RETRY_SECONDS = 0.1
"""Time after a failed attempt before the next one; a page of which only a part arrived
in time is requested again at once with fewer rows."""


class PagedReader:
    """Reads pages until the last one, and a failed page again from the last row read.

    Args:
        read_page: Requests a page of a prefix, from the row with a name on; the name is
            empty for the first page.
        metrics: Registry of the counters.
    """

    def __init__(
        self,
        read_page: Callable[[str, str], Awaitable[RowPage]],
        metrics: MetricsRegistry,
    ):
        self._read_page = read_page
        self._metrics = metrics

    async def read(self, prefix: str, limit: int = 0) -> RowSet:
        """Return the rows whose key starts with a prefix.

        Later changes must be read from the returned revision on, which is that of the
        first page, since rows may change while the remaining pages are read.

        Args:
            prefix: Start of the row keys.
            limit: Limit on the returned rows; 0 for no limit.

        Raises:
            StoreError: The first page, or all attempts to read a later page, failed.
        """
        rows: list[Row] = []
        revision: int | None = None
        while True:
            start = RowKey.parse(rows[-1].key).name if rows else ""
            page = await self._read_page_with_retries(prefix, start)
            revision = page.revision if revision is None else revision
            # A page begins with the last row read, unless that row was deleted.
            is_repeated = rows and page.rows and page.rows[0].key == rows[-1].key
            new_rows = page.rows[1:] if is_repeated else page.rows
            rows.extend(new_rows)
            if not page.has_more or (limit and len(rows) >= limit):
                rows = rows[:limit] if limit else rows
                return RowSet(revision=revision, rows=rows, clock=page.clock)
            if not new_rows:
                raise StoreError(f"page without a further row of {prefix}", False)

    async def _read_page_with_retries(self, prefix: str, start: str) -> RowPage:
        attempts = 0
        while True:
            attempts += 1
            try:
                return await self._read_page(prefix, start)
            except SlowResponseError:
                if attempts == PAGE_ATTEMPTS:
                    raise
                self._metrics.count("retry", "read-page")
            except StoreError:
                # Without progress that would be lost, the caller decides when to retry.
                if attempts == PAGE_ATTEMPTS or not start:
                    raise
                self._metrics.count("retry", "read-page")
                await sleep(RETRY_SECONDS)
