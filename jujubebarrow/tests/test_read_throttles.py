"""Sizes of pages and the limit on outstanding reads.

Guards against pages that a link can't carry within the timeout, against pages that stay
small on a fast link, and against small reads that wait behind large ones.
"""

import unittest
from asyncio import CancelledError, create_task, gather, sleep, wait_for

from jujubebarrow.errors.exceptions import SlowResponseError, StoreError
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.stores.byte_limiters import ByteLimiter
from jujubebarrow.stores.page_sizers import (
    MAX_RESPONSE_BYTES,
    MIN_PAGE_BYTES,
    PageSizer,
)
from jujubebarrow.stores.paged_readers import PAGE_ATTEMPTS, PagedReader
from jujubebarrow.stores.read_throttles import ReadThrottle
from jujubebarrow.stores.row_pages import RowPage
from jujubebarrow.stores.rows import Row
from jujubebarrow.tests.fakes.virtual_loops import run_virtual

SMALL_LINK_MBPS = 10.0
LARGE_LINK_MBPS = 1000.0
BYTES_PER_SECOND_OF_SMALL_LINK = 1_250_000


def make_page(
    row_count: int,
    row_bytes: int = 1000,
    seconds: float | None = 0.2,
    has_more: bool = False,
    first: int = 0,
) -> RowPage:
    rows = [
        Row(key=f"jobs/q/{number:04d}", revision=1, value={})
        for number in range(first, first + row_count)
    ]
    return RowPage(
        rows=rows,
        revision=7,
        has_more=has_more,
        size_bytes=row_count * row_bytes,
        transfer_seconds=seconds,
    )


class PageSizerTest(unittest.TestCase):
    def test_page_takes_a_small_part_of_the_timeout_on_half_of_a_small_link(
        self,
    ) -> None:
        sizer = PageSizer(SMALL_LINK_MBPS)
        seconds = sizer.outstanding_bytes_limit / (BYTES_PER_SECOND_OF_SMALL_LINK / 2)
        self.assertLess(seconds, 0.45)
        self.assertLess(sizer.page_bytes, sizer.outstanding_bytes_limit / 2)

    def test_page_on_a_large_link_has_no_row_limit(self) -> None:
        sizer = PageSizer(LARGE_LINK_MBPS)
        self.assertEqual(sizer.choose_row_limit("jobs", sizer.page_bytes), 0)

    def test_no_row_limit_exceeds_that_of_the_store(self) -> None:
        sizer = PageSizer(SMALL_LINK_MBPS)
        sizer.record_page("jobs", make_page(100, 10))
        self.assertEqual(sizer.choose_row_limit("jobs", 4990), 499)
        self.assertEqual(sizer.choose_row_limit("jobs", 5000), 0)

    def test_row_limit_follows_the_size_of_the_rows(self) -> None:
        sizer = PageSizer(SMALL_LINK_MBPS)
        sizer.record_page("jobs", make_page(10, 8000))
        self.assertEqual(sizer.choose_row_limit("jobs", 80_000), 10)
        self.assertEqual(sizer.choose_row_limit("jobs", 1), 2)
        sizer.record_page("jobs", make_page(10, 500))
        self.assertLess(sizer.choose_row_limit("jobs", 80_000), 20)

    def test_slow_transfers_and_timeouts_reduce_the_page_size(self) -> None:
        sizer = PageSizer(LARGE_LINK_MBPS)
        sizer.record_page("jobs", make_page(400, 1000, seconds=0.6))
        self.assertLess(sizer.page_bytes, 400_000)
        sizer.record_timeout(200_000)
        self.assertLessEqual(sizer.page_bytes, 50_000)
        for _ in range(20):
            sizer.record_timeout(1)
        self.assertEqual(sizer.page_bytes, MIN_PAGE_BYTES)

    def test_fast_transfers_restore_the_page_size_up_to_that_of_the_link(self) -> None:
        sizer = PageSizer(SMALL_LINK_MBPS)
        nominal = sizer.page_bytes
        sizer.record_timeout(1)
        for _ in range(20):
            size = int(sizer.page_bytes)
            sizer.record_page("jobs", make_page(size // 1000, seconds=0.01))
        self.assertEqual(sizer.page_bytes, nominal)


class ByteLimiterTest(unittest.TestCase):
    def test_outstanding_bytes_stay_within_the_limit(self) -> None:
        async def scenario() -> None:
            limiter = ByteLimiter(lambda: 100.0)
            peaks: list[float] = []

            async def call(size: float) -> None:
                async with limiter.reserve(size):
                    peaks.append(limiter.outstanding_bytes)
                    await sleep(1)

            await gather(*(call(40.0) for _ in range(9)))
            self.assertEqual((len(peaks), max(peaks)), (9, 80.0))
            await gather(call(500.0), call(500.0))
            self.assertEqual(peaks[-1], 500.0)
            self.assertEqual(limiter.outstanding_bytes, 0)

        run_virtual(scenario())

    def test_cancelled_calls_release_their_bytes(self) -> None:
        async def scenario() -> None:
            limiter = ByteLimiter(lambda: 100.0)

            async def call() -> None:
                async with limiter.reserve(60.0):
                    await sleep(1)

            running, waiting, admitted, last = (create_task(call()) for _ in range(4))
            await sleep(0.1)
            waiting.cancel()
            await sleep(0.1)
            # Admits a waiting call and cancels it before it has run again.
            running.cancel()
            await sleep(0)
            admitted.cancel()
            results = await gather(
                running, waiting, admitted, last, return_exceptions=True
            )
            self.assertEqual(
                [type(result) for result in results],
                [CancelledError, CancelledError, CancelledError, type(None)],
            )
            self.assertEqual(limiter.outstanding_bytes, 0)

        run_virtual(scenario())


class ReadThrottleTest(unittest.TestCase):
    def test_small_reads_pass_while_large_reads_wait(self) -> None:
        async def scenario() -> None:
            throttle = ReadThrottle(SMALL_LINK_MBPS, MetricsRegistry())
            ended: list[str] = []
            row_limits: list[int] = []

            async def read(prefix: str, start: str, seconds: float, count: int) -> None:
                async def fetch(row_limit: int) -> RowPage:
                    row_limits.append(row_limit)
                    await sleep(seconds)
                    return make_page(count)

                await throttle.read_page(prefix, start, 0, fetch)
                ended.append(prefix)

            await read("control//", "", 0.1, 3)
            ended.clear()
            large = [read(f"jobs/q{n}/", "0001", 1.0, 70) for n in range(10)]
            small = [read("control//", "", 0.1, 3), read("jobs/q/0001", "", 0.1, 1)]
            await gather(*large, *small)
            self.assertEqual(set(ended[:2]), {"control//", "jobs/q/0001"})
            self.assertEqual(len(ended), 12)
            self.assertNotIn(0, row_limits)

        run_virtual(scenario())

    def test_at_most_a_fraction_of_a_second_of_the_link_is_outstanding(self) -> None:
        async def scenario() -> None:
            throttle = ReadThrottle(SMALL_LINK_MBPS, MetricsRegistry())
            outstanding_count = peak = 0

            async def fetch(row_limit: int) -> RowPage:
                nonlocal outstanding_count, peak
                outstanding_count += row_limit
                peak = max(peak, outstanding_count)
                await sleep(0.5)
                outstanding_count -= row_limit
                return make_page(row_limit, 2000)

            reads = [
                throttle.read_page(f"jobs/q{n}/", start, 0, fetch)
                for n in range(40)
                for start in ("", "0001")
            ]
            await gather(*reads)
            bytes_per_second = BYTES_PER_SECOND_OF_SMALL_LINK / 2
            self.assertLess(peak * 2000 / bytes_per_second, 0.45)

        run_virtual(scenario())

    def test_small_partition_first_read_in_several_pages_is_known_as_small(
        self,
    ) -> None:
        async def scenario() -> None:
            throttle = ReadThrottle(SMALL_LINK_MBPS, MetricsRegistry())

            async def fetch_part(row_limit: int) -> RowPage:
                return make_page(2, has_more=True)

            async def fetch(row_limit: int) -> RowPage:
                return make_page(2)

            async def fetch_slowly(row_limit: int) -> RowPage:
                await sleep(1000)
                return make_page(2)

            await throttle.read_page("control//", "", 0, fetch_part)
            await throttle.read_page("control//", "0001", 0, fetch)
            large = [
                create_task(throttle.read_page(f"jobs/q{n}/", "1", 0, fetch_slowly))
                for n in range(10)
            ]
            await sleep(0.1)
            await wait_for(throttle.read_page("control//", "", 0, fetch), 1)
            for task in large:
                task.cancel()

        run_virtual(scenario())

    def test_partition_that_has_grown_gets_no_larger_page_than_reserved(self) -> None:
        async def scenario() -> None:
            throttle = ReadThrottle(SMALL_LINK_MBPS, MetricsRegistry())
            row_limits: list[int] = []

            async def fetch(row_limit: int) -> RowPage:
                row_limits.append(row_limit)
                return make_page(20, has_more=False)

            await throttle.read_page("jobs/q/", "", 0, fetch)
            await throttle.read_page("jobs/q/", "", 0, fetch)
            self.assertEqual(row_limits[1], 25)

        run_virtual(scenario())

    def test_failed_call_releases_its_bytes(self) -> None:
        async def scenario() -> None:
            throttle = ReadThrottle(SMALL_LINK_MBPS, MetricsRegistry())
            before = throttle.page_bytes

            async def fail(row_limit: int) -> RowPage:
                raise SlowResponseError("slow", 1000)

            for _ in range(5):
                with self.assertRaises(SlowResponseError):
                    await throttle.read_page("jobs/q/", "0001", 0, fail)
            self.assertLess(throttle.page_bytes, before)

            async def fetch(row_limit: int) -> RowPage:
                return make_page(2)

            await gather(
                *(throttle.read_page("jobs/q/", "1", 0, fetch) for _ in range(9))
            )

        run_virtual(scenario())


class PagedReaderTest(unittest.TestCase):
    def read(self, outcomes: list[RowPage | StoreError], limit: int = 0):
        self.starts: list[str] = []

        async def read_page(prefix: str, start: str) -> RowPage:
            self.starts.append(start)
            outcome = outcomes.pop(0)
            if isinstance(outcome, StoreError):
                raise outcome
            return outcome

        reader = PagedReader(read_page, MetricsRegistry())
        return run_virtual(reader.read("jobs/q/", limit))

    def test_progress_is_kept_after_failed_pages(self) -> None:
        found = self.read(
            [
                SlowResponseError("slow", 10),
                make_page(3, has_more=True),
                StoreError("status 503", False),
                SlowResponseError("slow", 10),
                make_page(3, has_more=True, first=2),
                make_page(1, first=4),
            ]
        )
        self.assertEqual(self.starts, ["", "", "0002", "0002", "0002", "0004"])
        names = [row.key[-4:] for row in found.rows]
        self.assertEqual(names, ["0000", "0001", "0002", "0003", "0004"])
        self.assertEqual(found.revision, 7)

    def test_attempts_are_bounded(self) -> None:
        failures: list[RowPage | StoreError] = [StoreError("status 503", False)] * 9
        with self.assertRaises(StoreError):
            self.read(list(failures))
        self.assertEqual(len(self.starts), 1)
        with self.assertRaises(StoreError):
            self.read([make_page(3, has_more=True), *failures])
        self.assertEqual(len(self.starts), 1 + PAGE_ATTEMPTS)
        with self.assertRaises(SlowResponseError):
            self.read([SlowResponseError("slow", MAX_RESPONSE_BYTES)] * 9)
        self.assertEqual(len(self.starts), PAGE_ATTEMPTS)

    def test_page_without_progress_is_an_error_and_not_the_end(self) -> None:
        with self.assertRaises(StoreError):
            self.read(
                [make_page(3, has_more=True), make_page(1, has_more=True, first=2)]
            )


if __name__ == "__main__":
    unittest.main()
