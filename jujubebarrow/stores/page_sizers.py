"""Size of the pages in which an instance reads rows over its network link."""

from jujubebarrow.stores.row_pages import RowPage

BYTES_PER_MEGABIT = 125_000
PAGE_SECONDS = 0.06
"""Time that a page takes on a link with the nominal rate."""
OUTSTANDING_PAGE_COUNT = 2.5
"""Pages that may be outstanding at the same time. On a link with half the nominal rate,
they delay another call by 0.3 s, a third of the timeout of a call to the store."""
MIN_PAGE_BYTES = 16_000
MAX_RESPONSE_BYTES = 1_000_000
"""Size at which the store ends a page by itself."""
MAX_ROWS_PER_PAGE = 500
"""Rows after which the store ends a page by itself."""
MIN_ROWS_PER_PAGE = 2
"""A page begins with the last row of the page before, so one row would be no
progress."""
ASSUMED_ROW_BYTES = 8000
"""Size of a row in a table that was not read yet, that of a job with a long payload."""
ROW_SIZE_WEIGHT = 0.3
"""Weight of a page whose rows are smaller than those of the pages before."""
SLOW_TRANSFER_SECONDS = 0.3
"""Transfer time above which pages become smaller."""
FAST_TRANSFER_SECONDS = 0.1
"""Transfer time below which pages become larger again."""
DECREASE_FACTOR = 0.7
INCREASE_FACTOR = 1.5
TIMEOUT_FACTOR = 0.25
"""Size of the next pages in relation to what arrived of a page before its timeout."""


class PageSizer:
    """Adapts the page size to the link's nominal rate and to measured transfer times.

    Args:
        link_mbps: Nominal rate of the link in Mbit/s.
    """

    def __init__(self, link_mbps: float):
        self._max_page_bytes = max(
            float(MIN_PAGE_BYTES), link_mbps * BYTES_PER_MEGABIT * PAGE_SECONDS
        )
        self._page_bytes = self._max_page_bytes
        self._row_bytes: dict[str, float] = {}

    @property
    def page_bytes(self) -> float:
        """Present size of a page."""
        return self._page_bytes

    @property
    def outstanding_bytes_limit(self) -> float:
        """Size of the pages that may be outstanding at the same time."""
        return self._page_bytes * OUTSTANDING_PAGE_COUNT

    def choose_row_limit(self, table: str, page_bytes: float) -> int:
        """Return the limit on the rows of a page; 0 for no limit.

        Args:
            table: Table that the page is read from.
            page_bytes: Largest expected size of the page.
        """
        row_bytes = self._row_bytes.get(table, ASSUMED_ROW_BYTES)
        row_limit = max(MIN_ROWS_PER_PAGE, int(page_bytes / row_bytes))
        if page_bytes >= MAX_RESPONSE_BYTES or row_limit >= MAX_ROWS_PER_PAGE:
            return 0
        return row_limit

    def record_page(self, table: str, page: RowPage) -> None:
        """Learn the size of the table's rows and the speed of the link from a page."""
        if page.rows:
            self._record_row_bytes(table, page.size_bytes / len(page.rows))
        seconds, size = page.transfer_seconds, page.size_bytes
        if seconds is None:
            return
        if seconds > SLOW_TRANSFER_SECONDS:
            self._limit_page_bytes(size * DECREASE_FACTOR)
        elif seconds < FAST_TRANSFER_SECONDS and 2 * size >= self._page_bytes:
            increased = self._page_bytes * INCREASE_FACTOR
            self._page_bytes = min(self._max_page_bytes, increased)

    def record_timeout(self, received_bytes: int) -> None:
        """Reduce the page size after a page of which only a part arrived in time."""
        self._limit_page_bytes(
            min(received_bytes * TIMEOUT_FACTOR, self._page_bytes / 2)
        )

    def _limit_page_bytes(self, limit: float) -> None:
        self._page_bytes = max(float(MIN_PAGE_BYTES), min(self._page_bytes, limit))

    def _record_row_bytes(self, table: str, average: float) -> None:
        former = self._row_bytes.get(table, average)
        smoothed = former + ROW_SIZE_WEIGHT * (average - former)
        self._row_bytes[table] = max(average, smoothed, 1.0)
