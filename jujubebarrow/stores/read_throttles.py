"""Limits what reads of rows put on an instance's network link at the same time.

A response of the store that waits on the link behind large ones may arrive after its
timeout. The calls that keep an instance's lease are small, so they are not limited,
while the large reads leave them room on the link.
"""

from collections.abc import Awaitable, Callable

from jujubebarrow.errors.exceptions import SlowResponseError
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.stores.byte_limiters import ByteLimiter
from jujubebarrow.stores.page_sizers import MAX_RESPONSE_BYTES, PageSizer
from jujubebarrow.stores.row_keys import RowKey
from jujubebarrow.stores.row_pages import RowPage

MIN_SMALL_READ_BYTES = 8000
SMALL_READ_FACTOR = 0.125
"""Size up to which a read does not wait behind large reads, in relation to a page."""
SMALL_RESERVATION_BYTES = 2000
"""Least expected size of a small read, since the partition may have grown."""
SMALL_READS_FACTOR = 0.4
"""Limit on outstanding small reads, in relation to that on large reads."""
FIRST_PAGE_FACTOR = 0.25
"""Size of the first page of a partition of unknown size. Most partitions are small, and
several of them can be read at the same time."""
GROWTH_FACTOR = 1.25
"""Expected size of a partition, in relation to its size when last read."""


class ReadThrottle:
    """Chooses the size of pages and the moment at which they are requested.

    Reads of single rows pass at once. Reads of a partition that was small when it was
    last read wait only for each other. All other pages share a limit on the outstanding
    bytes.

    Args:
        link_mbps: Nominal rate of the instance's network link in Mbit/s.
        metrics: Registry of the counters.
    """

    def __init__(self, link_mbps: float, metrics: MetricsRegistry):
        self._metrics = metrics
        self._sizer = PageSizer(link_mbps)
        self._large_reads = ByteLimiter(lambda: self._sizer.outstanding_bytes_limit)
        self._small_reads = ByteLimiter(
            lambda: self._sizer.outstanding_bytes_limit * SMALL_READS_FACTOR
        )
        # Size of each partition when last read, as far as known.
        self._partition_bytes: dict[tuple[str, str], float] = {}
        # Size of the pages received by reads that have not ended.
        self._unfinished_bytes: dict[tuple[str, str], float] = {}

    async def read_page(
        self,
        prefix: str,
        start: str,
        row_limit: int,
        fetch: Callable[[int], Awaitable[RowPage]],
    ) -> RowPage:
        """Wait until a page can be requested, then request the page once.

        Args:
            prefix: Start of the row keys.
            start: Name of the page's first row; empty for the first page.
            row_limit: Limit on the rows of the page; 0 for no limit.
            fetch: Requests the page with a limit on its rows; 0 for no limit.

        Raises:
            StoreError: The call failed.
        """
        key = RowKey.parse(prefix)
        if key.name and not start:
            return await self._fetch(key.table, row_limit, self.page_bytes, fetch)
        partition = (key.table, key.partition)
        known_bytes = self._partition_bytes.get(partition)
        if known_bytes is not None and known_bytes <= self.small_read_bytes:
            async with self._small_reads.reserve(
                max(known_bytes, SMALL_RESERVATION_BYTES)
            ):
                page_bytes = self.small_read_bytes
                page = await self._fetch(key.table, row_limit, page_bytes, fetch)
        else:
            if known_bytes is None:
                expected_bytes = self.page_bytes * FIRST_PAGE_FACTOR
            else:
                expected_bytes = min(self.page_bytes, known_bytes * GROWTH_FACTOR)
            async with self._large_reads.reserve(
                min(expected_bytes, MAX_RESPONSE_BYTES)
            ):
                # The page size may have been reduced in the meantime.
                page_bytes = min(self.page_bytes, expected_bytes)
                page = await self._fetch(key.table, row_limit, page_bytes, fetch)
        if not key.name:
            self._record_partition(partition, page, is_first=not start)
        return page

    def _record_partition(
        self, partition: tuple[str, str], page: RowPage, is_first: bool
    ) -> None:
        read_bytes = 0.0 if is_first else self._unfinished_bytes.get(partition, 0.0)
        read_bytes += page.size_bytes
        if page.has_more:
            self._unfinished_bytes[partition] = read_bytes
            if read_bytes > self.small_read_bytes:
                self._partition_bytes[partition] = float("inf")
        else:
            self._unfinished_bytes.pop(partition, None)
            self._partition_bytes[partition] = read_bytes

    @property
    def page_bytes(self) -> float:
        """Present size of a page."""
        return self._sizer.page_bytes

    @property
    def small_read_bytes(self) -> float:
        """Size up to which a read does not wait behind large reads."""
        return max(MIN_SMALL_READ_BYTES, self.page_bytes * SMALL_READ_FACTOR)

    async def _fetch(
        self,
        table: str,
        row_limit: int,
        page_bytes: float,
        fetch: Callable[[int], Awaitable[RowPage]],
    ) -> RowPage:
        limits = [row_limit, self._sizer.choose_row_limit(table, page_bytes)]
        try:
            page = await fetch(min(filter(None, limits), default=0))
        except SlowResponseError as error:
            self._metrics.count("store_page_slow")
            self._sizer.record_timeout(error.received_bytes)
            raise
        self._sizer.record_page(table, page)
        return page
