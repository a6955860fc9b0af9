"""Leases of workers that may execute an order late, without a network.

The tests guard against tasks that start again while a late order keeps their former run
alive, and against tasks that wait for late orders of a worker that is gone.
"""

import unittest

from jujubebarrow.clocks.manual_clocks import ManualClock
from jujubebarrow.coordinators.coordinator_options import CoordinatorOptions
from jujubebarrow.coordinators.lease_books import LeaseBook
from jujubebarrow.coordinators.order_results import OrderOutcome
from jujubebarrow.coordinators.recorded_leases import (
    RecordedLease,
    decode_leases,
    encode_leases,
)
from jujubebarrow.coordinators.worker_views import (
    CLOCK_RATE,
    EXPIRY_MARGIN_SECONDS,
    WorkerView,
)
from jujubebarrow.stores.store_clocks import StoreClock
from jujubebarrow.tests.test_lasting_late_starts import (
    FIRST_START_MS,
    FORMER,
    NOW,
    OPTIONS,
    OTHER,
    LastingLateStartCase,
)
from jujubebarrow.workloads.worker_reports import RenewalReport, RunningTask

PROBE_SECONDS = 0.1
SILENCE_SECONDS = 40.0
LEASE_SECONDS = 6.0
WINDOW_SECONDS = 13.0


def compute_longest_lease(options: CoordinatorOptions) -> float:
    return options.lease / CLOCK_RATE + EXPIRY_MARGIN_SECONDS


class LeaseBookTest(unittest.TestCase):
    def setUp(self) -> None:
        self.book = LeaseBook(0.0)

    def issue(self, sent_at: float) -> None:
        end = sent_at + LEASE_SECONDS
        self.book.issue(sent_at, end, LEASE_SECONDS, sent_at + WINDOW_SECONDS)

    def test_answered_order_extends_no_lease_later(self) -> None:
        self.issue(1.0)
        self.book.settle(1.0)
        self.assertEqual(self.book.end, 1.0 + LEASE_SECONDS)

    def test_unanswered_order_extends_the_lease_until_its_end(self) -> None:
        self.issue(1.0)
        self.assertEqual(self.book.timely_end, 1.0 + LEASE_SECONDS)
        self.assertEqual(self.book.end, 1.0 + 2 * LEASE_SECONDS)

    def test_lease_ends_after_the_last_unanswered_order(self) -> None:
        for sent_at in (1.0, 2.0, 2.0, 3.0, 4.0):
            self.issue(sent_at)
        self.assertEqual(self.book.end, 4.0 + WINDOW_SECONDS + LEASE_SECONDS)

    def test_record_of_the_lease_counts_no_order_twice(self) -> None:
        self.issue(1.0)
        end = self.book.end
        self.book.limit(self.book.timely_end, end)
        self.assertEqual(self.book.end, end)

    def test_orders_sent_at_the_same_time_are_settled_one_by_one(self) -> None:
        self.issue(1.0)
        self.issue(1.0)
        self.book.settle(1.0)
        self.assertTrue(self.book.has_unanswered)
        self.book.settle(1.0)
        self.assertFalse(self.book.has_unanswered)

    def test_orders_that_cannot_be_executed_any_more_are_dropped(self) -> None:
        self.issue(1.0)
        sent_at = 1.0 + WINDOW_SECONDS + LEASE_SECONDS + 1.0
        self.issue(sent_at)
        self.book.settle(sent_at)
        self.assertFalse(self.book.has_unanswered)


class PostponedLeaseTest(LastingLateStartCase):
    @property
    def worker(self) -> WorkerView:
        return self.coordinator.state.workers[FORMER]

    def lose_renewal(self) -> None:
        """Send a renewal that gets no response."""
        self.coordinator.make_renewal(self.worker, 0.0, NOW)
        self.coordinator.handle_renewal_failure(self.worker, NOW)

    def find_next_start(self, is_registered: bool) -> float:
        """Return when the task starts elsewhere if its worker stays out of reach."""
        now = NOW
        while now < NOW + SILENCE_SECONDS:
            now += PROBE_SECONDS
            self.worker.record_failure(now)
            self.report(OTHER, FIRST_START_MS, now)
            if not is_registered:
                self.coordinator.handle_deregistration(FORMER)
            if OTHER in self.plan(now):
                return now
        return now

    async def test_task_of_a_silent_worker_waits_for_the_lease_of_a_late_renewal(
        self,
    ) -> None:
        self.start([OrderOutcome.ACCEPTED])
        self.lose_renewal()
        end = self.find_next_start(is_registered=True)
        self.assertGreaterEqual(end, NOW + 2 * compute_longest_lease(OPTIONS))
        self.assertLess(end, NOW + OPTIONS.late_order_window)

    async def test_task_of_a_silent_worker_waits_for_the_open_copy_of_a_renewal(
        self,
    ) -> None:
        run = self.start([OrderOutcome.ACCEPTED])
        self.coordinator.make_renewal(self.worker, 0.0, NOW)
        listed = RunningTask(run.task, run.run, "", 0, 0)
        report = RenewalReport(FIRST_START_MS, NOW, (listed,), (), has_open_copy=True)
        self.coordinator.handle_renewal_report(self.worker, report, NOW, NOW)
        end = self.find_next_start(is_registered=True)
        self.assertGreaterEqual(end, NOW + 2 * compute_longest_lease(OPTIONS))

    async def test_task_of_a_silent_worker_waits_for_the_lease_of_a_late_start(
        self,
    ) -> None:
        self.start([OrderOutcome.UNACKNOWLEDGED])
        self.lose_renewal()
        end = self.find_next_start(is_registered=True)
        late_start_end = NOW + OPTIONS.late_order_window
        self.assertGreater(end, late_start_end + OPTIONS.lease / CLOCK_RATE)

    async def test_task_of_a_worker_that_is_gone_waits_for_no_late_renewal(
        self,
    ) -> None:
        self.start([OrderOutcome.ACCEPTED])
        self.lose_renewal()
        end = self.find_next_start(is_registered=False)
        self.assertLess(end, NOW + compute_longest_lease(OPTIONS) + 2 * PROBE_SECONDS)

    async def test_task_of_a_worker_that_is_gone_waits_where_orders_got_no_response(
        self,
    ) -> None:
        self.start([OrderOutcome.ACCEPTED])
        self.lose_renewal()
        view = self.coordinator.state.workers[OTHER]
        self.coordinator.handle_renewal_failure(view, NOW)
        end = self.find_next_start(is_registered=False)
        self.assertGreater(end, NOW + compute_longest_lease(OPTIONS) + 1.0)

    async def test_first_response_after_a_silence_voids_the_orders_before(
        self,
    ) -> None:
        run = self.start([OrderOutcome.ACCEPTED])
        token = self.worker.token
        self.lose_renewal()
        self.assertGreater(self.worker.token, token)
        renewal = self.coordinator.make_renewal(self.worker, 0.0, NOW + 1.0)
        self.assertEqual((renewal.token, renewal.deadline), (self.worker.token, None))
        listed = RunningTask(run.task, run.run, "", 0, 0)
        self.report(FORMER, FIRST_START_MS, NOW + 1.0, listed)
        self.assertFalse(self.worker.has_unanswered_lease)
        longest = compute_longest_lease(OPTIONS)
        self.assertAlmostEqual(self.worker.lease_end, NOW + 1.0 + longest)

    def record_lease(self) -> None:
        """Record the lease of the unresponsive worker, as its owner does."""
        lease = RecordedLease(
            FIRST_START_MS, self.worker.timely_lease_end, self.worker.lease_end
        )
        self.coordinator.state.set_recorded_leases({FORMER: lease})

    async def test_stored_lease_of_a_silent_worker_leaves_no_late_order_valid(
        self,
    ) -> None:
        self.start([OrderOutcome.UNACKNOWLEDGED])
        token = self.worker.token
        end = self.worker.lease_end
        self.record_lease()
        self.assertEqual(self.worker.lease_end, end)
        self.coordinator.handle_renewal_failure(self.worker, NOW)
        self.assertGreater(self.worker.token, token)

    async def test_late_start_extends_leases_issued_after_the_stored_one(
        self,
    ) -> None:
        self.start([OrderOutcome.UNACKNOWLEDGED])
        self.record_lease()
        self.report(FORMER, FIRST_START_MS, NOW + 1.0)
        self.coordinator.state.set_recorded_leases({})
        sent_at = NOW + OPTIONS.late_order_window - 1.0
        self.coordinator.make_renewal(self.worker, 0.0, sent_at)
        self.report(FORMER, FIRST_START_MS, sent_at)
        late_start_end = NOW + OPTIONS.late_order_window
        self.assertGreater(self.worker.lease_end, late_start_end + OPTIONS.lease)

    async def test_further_failures_issue_no_further_tokens(self) -> None:
        self.lose_renewal()
        token = self.worker.token
        self.lose_renewal()
        self.assertEqual(self.worker.token, token)

    async def test_runs_that_outlive_their_lease_are_logged(self) -> None:
        run = self.start([OrderOutcome.ACCEPTED])
        now = self.worker.lease_end + 1.0
        listed = RunningTask(run.task, run.run, "", 0, 0)
        self.report(FORMER, FIRST_START_MS, now, listed)
        events = [line["event"] for line in self.log.lines]
        self.assertIn("lease_outlived", events)

    async def test_lease_of_a_former_owner_may_have_been_extended_late(self) -> None:
        state = self.coordinator.state
        view = state.ensure_worker(OTHER)
        del state.workers[OTHER]
        view = state.ensure_worker(OTHER)
        self.assertEqual(view.timely_lease_end, state.former_leases_end)
        self.assertEqual(
            view.lease_end, state.former_leases_end + OPTIONS.late_order_window
        )


class RecordedLeaseTest(unittest.TestCase):
    def test_row_of_an_earlier_build_has_one_expiry(self) -> None:
        clock = StoreClock(ManualClock(NOW))
        clock.record_store_time(NOW, NOW)
        [lease] = decode_leases({"w0": {"born": 1, "ends": NOW}}, clock).values()
        self.assertEqual(lease.latest_expiry, lease.expires_at)
        [row] = encode_leases({FORMER: lease}, clock).values()
        self.assertAlmostEqual(row["latest"], row["ends"])
