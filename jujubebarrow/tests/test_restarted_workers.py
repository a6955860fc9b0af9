"""Orders to workers that restart under their id, also those that are executed late.

The tests guard against tasks that run twice and overloaded workers after an order to a
former incarnation of a worker has reached the next one.
"""

import unittest
from dataclasses import replace

from jujubebarrow.coordinators.active_runs import ActiveRun, RunStage
from jujubebarrow.coordinators.coordinator_options import CoordinatorOptions
from jujubebarrow.coordinators.late_start_records import LateStartRecord
from jujubebarrow.coordinators.order_results import OrderOutcome, OrderResult
from jujubebarrow.coordinators.orders import StartOrder
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.coordinators.reconcilers import ORPHAN_BLOCK_SECONDS
from jujubebarrow.coordinators.recorded_leases import RecordedLease
from jujubebarrow.coordinators.worker_views import CLOCK_RATE, WorkerView
from jujubebarrow.identifiers import JobId, ZoneId
from jujubebarrow.tests.fakes.fake_documents import ListLog
from jujubebarrow.tests.fakes.job_clusters import POOL, QUEUE
from jujubebarrow.tests.test_planning_work import make_record
from jujubebarrow.workloads.finished_runs import FinishedRun, RunOutcome
from jujubebarrow.workloads.identifiers import FenceToken, RunNumber, WorkerId
from jujubebarrow.workloads.resources import NO_RESOURCES, Resources
from jujubebarrow.workloads.task_keys import TaskKey
from jujubebarrow.workloads.worker_reports import (
    RenewalReport,
    RunningTask,
    WorkerEntry,
    WorkerState,
)

WORKER = WorkerId("w0")
OTHER_WORKER = WorkerId("w1")
CAPACITY = Resources(32000, 65536)
LABEL = "b"
SMALL_CAPACITY = Resources(2000, 4096)
OPTIONS = CoordinatorOptions(
    lease=6.0,
    longest_lease=6.0,
    accepted_lease=10.0,
    superseded_renewal=2.0,
    stop_grace=0.2,
    early_start=0.1,
)
FIRST_START_MS = 1_000
SECOND_START_MS = 60_000
NOW = 100.0


class WorkerOrderCase(unittest.IsolatedAsyncioTestCase):
    """Owner of a pool with a worker whose reports and responses a test writes."""

    async def asyncSetUp(self) -> None:
        self.coordinator = self.make_coordinator(FenceToken(7))
        self.register(FIRST_START_MS)
        self.report(FIRST_START_MS)

    def make_coordinator(self, token: FenceToken) -> PoolCoordinator:
        return PoolCoordinator(POOL, token, OPTIONS, 0.0, ListLog())

    @property
    def worker(self) -> WorkerView:
        return self.coordinator.state.workers[WORKER]

    def register(
        self,
        started_at_ms: int,
        capacity: Resources = CAPACITY,
        worker: WorkerId = WORKER,
        labels: tuple[str, ...] = (),
    ) -> None:
        entry = WorkerEntry(
            worker=worker,
            started_at_ms=started_at_ms,
            pool=POOL,
            address="address",
            zone=ZoneId("z"),
            state=WorkerState.READY,
            capacity=capacity,
            labels=labels,
        )
        self.coordinator.handle_registration(entry, NOW)

    def register_other_worker(self) -> None:
        """Register a worker that accepts tasks."""
        self.register(FIRST_START_MS, worker=OTHER_WORKER)
        view = self.coordinator.state.workers[OTHER_WORKER]
        report = RenewalReport(FIRST_START_MS, 50.0, (), ())
        self.coordinator.handle_renewal_report(view, report, NOW, NOW)

    def report(
        self,
        born: int,
        running: tuple[RunningTask, ...] = (),
        ended: tuple[FinishedRun, ...] = (),
        now: float = NOW,
        clock: float = 50.0,
    ) -> int:
        """Let the worker report; return the number of stop orders that follow."""
        report = RenewalReport(born, clock, running, ended)
        return len(
            self.coordinator.handle_renewal_report(self.worker, report, now, now)
        )

    def start_tasks(self, count: int = 1) -> list[tuple[ActiveRun, StartOrder]]:
        self.coordinator.add_job(make_record(0, count), None, NOW)
        runs = self.coordinator.plan(NOW, NOW)
        self.assertEqual(len(runs), count)
        started = []
        for run in runs:
            run.stage = RunStage.RECORDED
            order = self.coordinator.orders.make_start(run, NOW)
            assert order is not None
            run.is_start_sent = True
            started.append((run, order))
        return started

    def finish(self, run: ActiveRun, order: StartOrder, outcome: OrderOutcome) -> None:
        result = OrderResult(outcome, 50.0)
        self.coordinator.orders.handle_start_result(run, order, result, NOW, NOW)


class RestartedWorkerTest(WorkerOrderCase):
    def plan_labelled_task(self) -> ActiveRun:
        """Return a recorded run whose step requires a label that its worker has."""
        self.register(FIRST_START_MS, labels=(LABEL,))
        record = make_record(0, 1)
        step = replace(record.steps[0], label=LABEL)
        self.coordinator.add_job(replace(record, steps=(step,)), None, NOW)
        (run,) = self.coordinator.plan(NOW, NOW)
        run.stage = RunStage.RECORDED
        return run

    async def test_no_start_is_sent_to_a_worker_that_has_left_the_pool(self) -> None:
        self.coordinator.add_job(make_record(0, 1), None, NOW)
        (run,) = self.coordinator.plan(NOW, NOW)
        run.stage = RunStage.RECORDED
        self.coordinator.handle_deregistration(WORKER)
        self.assertIsNone(self.coordinator.orders.make_start(run, NOW))
        self.assertFalse(self.coordinator.orders.is_active(run))

    async def test_no_start_is_repeated_to_a_worker_that_has_left_the_pool(
        self,
    ) -> None:
        ((run, order),) = self.start_tasks()
        self.finish(run, order, OrderOutcome.UNACKNOWLEDGED)
        self.coordinator.handle_deregistration(WORKER)
        self.assertIsNone(self.coordinator.orders.make_start(run, NOW))
        self.assertIs(run.stage, RunStage.STOPPING)

    async def test_no_start_is_sent_to_a_worker_that_has_lost_the_label(self) -> None:
        run = self.plan_labelled_task()
        self.register(FIRST_START_MS, labels=())
        self.assertIsNone(self.coordinator.orders.make_start(run, NOW))
        self.assertFalse(self.coordinator.orders.is_active(run))

    async def test_no_start_is_sent_before_the_pool_of_an_incarnation_is_known(
        self,
    ) -> None:
        """Guards against a planned run that follows its worker into another pool."""
        self.coordinator.add_job(make_record(0, 1), None, NOW)
        (run,) = self.coordinator.plan(NOW, NOW)
        record = LateStartRecord(NOW + 10.0, NO_RESOURCES, {})
        self.worker.set_former_owners_starts(record)
        self.report(SECOND_START_MS)
        self.report(SECOND_START_MS)
        run.stage = RunStage.RECORDED
        self.assertIsNone(self.coordinator.orders.make_start(run, NOW))
        self.register(SECOND_START_MS)
        self.assertIsNotNone(self.coordinator.orders.make_start(run, NOW))

    async def test_no_start_is_sent_before_the_labels_of_an_incarnation_are_known(
        self,
    ) -> None:
        run = self.plan_labelled_task()
        record = LateStartRecord(NOW + 10.0, NO_RESOURCES, {})
        self.worker.set_former_owners_starts(record)
        self.report(SECOND_START_MS)
        self.report(SECOND_START_MS)
        self.assertIsNone(self.coordinator.orders.make_start(run, NOW))
        self.register(SECOND_START_MS, labels=(LABEL,))
        self.assertIsNotNone(self.coordinator.orders.make_start(run, NOW))

    async def test_orders_after_a_restart_fence_orders_to_the_former_incarnation(
        self,
    ) -> None:
        former = self.coordinator.make_renewal(self.worker, 0.0, NOW)
        self.register(SECOND_START_MS)
        renewal = self.coordinator.make_renewal(self.worker, 0.0, NOW)
        self.assertGreater(renewal.token, former.token)
        successor = self.make_coordinator(FenceToken(8))
        view = successor.state.ensure_worker(WORKER)
        self.assertGreater(successor.make_renewal(view, 0.0, NOW).token, renewal.token)

    async def test_worker_removed_and_seen_again_gets_no_lower_token(self) -> None:
        former = self.worker.token
        del self.coordinator.state.workers[WORKER]
        self.register(FIRST_START_MS)
        self.assertGreater(self.worker.token, former)

    async def test_unacknowledged_start_is_stopped_at_once_after_a_restart(
        self,
    ) -> None:
        # A renewal to the former incarnation may delay the one to the present one.
        [(run, order)] = self.start_tasks()
        self.finish(run, order, OrderOutcome.UNACKNOWLEDGED)
        self.finish(run, order, OrderOutcome.ACCEPTED)
        ended = FinishedRun(1, run.task, run.run, RunOutcome.DONE, "")
        self.report(FIRST_START_MS, ended=(ended,))
        self.register(SECOND_START_MS)
        [stop] = self.coordinator.orders.pop_late_start_stops()
        self.assertEqual((stop.task, stop.run), (run.task, run.run))
        self.assertEqual(stop.token, self.worker.token)
        self.assertGreater(stop.token, order.token)

    async def test_throttle_of_the_former_incarnation_says_nothing_about_the_next(
        self,
    ) -> None:
        [(run, order)] = self.start_tasks()
        self.finish(run, order, OrderOutcome.ACCEPTED)
        self.worker.best_effort_speed_percent = 40
        throttle = self.coordinator.orders.make_throttle(run)
        assert throttle is not None
        run.speed_percent = throttle.percent
        self.register(SECOND_START_MS)
        self.assertEqual(run.speed_percent, 100)
        self.assertEqual(self.worker.best_effort_speed_percent, 100)
        self.assertFalse(self.coordinator.orders.is_to_present_incarnation(throttle))

    async def test_rejection_of_an_order_to_a_former_incarnation_ends_no_ownership(
        self,
    ) -> None:
        [(run, order)] = self.start_tasks()
        self.register(SECOND_START_MS)
        self.finish(run, order, OrderOutcome.FENCED)
        self.assertFalse(self.coordinator.state.is_claim_disputed)

    async def test_rejection_of_an_order_to_the_present_incarnation_ends_the_ownership(
        self,
    ) -> None:
        [(run, order)] = self.start_tasks()
        self.finish(run, order, OrderOutcome.FENCED)
        self.assertTrue(self.coordinator.state.is_claim_disputed)

    async def test_response_of_a_former_incarnation_sets_no_clock(self) -> None:
        [(run, order)] = self.start_tasks()
        self.register(SECOND_START_MS)
        self.finish(run, order, OrderOutcome.ACCEPTED)
        self.assertFalse(self.worker.has_seen_token)
        self.assertIsNone(self.worker.issue_lease(NOW, OPTIONS.lease))

    async def test_first_report_of_an_incarnation_only_shows_the_restart(self) -> None:
        [(run, order)] = self.start_tasks()
        self.finish(run, order, OrderOutcome.ACCEPTED)
        self.report(SECOND_START_MS, clock=0.1)
        self.assertFalse(self.worker.has_seen_token)
        self.assertIn((run.task, run.run), self.worker.runs)
        self.report(SECOND_START_MS, now=NOW + 0.1, clock=0.2)
        self.assertNotIn((run.task, run.run), self.worker.runs)

    async def test_renewal_after_a_failure_acknowledges_no_run(self) -> None:
        [(run, order)] = self.start_tasks()
        self.finish(run, order, OrderOutcome.ACCEPTED)
        ended = FinishedRun(1, run.task, run.run, RunOutcome.DONE, "")
        self.report(FIRST_START_MS, ended=(ended,))
        self.worker.mark_recorded(1)
        renewal = self.coordinator.make_renewal(self.worker, 0.0, NOW)
        self.assertEqual(renewal.acknowledged, 1)
        self.coordinator.handle_renewal_failure(self.worker, NOW)
        renewal = self.coordinator.make_renewal(self.worker, 0.0, NOW)
        self.assertEqual(renewal.acknowledged, 0)

    async def test_acknowledged_position_is_sent_until_it_is_confirmed(self) -> None:
        """Guards against a late renewal that acknowledges ends nobody has seen."""
        [(run, order)] = self.start_tasks()
        self.finish(run, order, OrderOutcome.ACCEPTED)
        ended = FinishedRun(1, run.task, run.run, RunOutcome.DONE, "")
        self.report(FIRST_START_MS, ended=(ended,))
        self.worker.mark_recorded(1)
        for _ in range(2):
            renewal = self.coordinator.make_renewal(self.worker, 0.0, NOW)
            self.assertEqual(renewal.acknowledged, 1)
        self.worker.confirm_acknowledgement(renewal.acknowledged)
        renewal = self.coordinator.make_renewal(self.worker, 0.0, NOW)
        self.assertEqual(renewal.acknowledged, 0)

    async def test_no_end_is_acknowledged_while_a_late_start_may_be_executed(
        self,
    ) -> None:
        """Guards against a run after an end that the worker was told to forget."""
        [(run, order)] = self.start_tasks()
        self.finish(run, order, OrderOutcome.UNACKNOWLEDGED)
        self.finish(run, order, OrderOutcome.ACCEPTED)
        ended = FinishedRun(1, run.task, run.run, RunOutcome.DONE, "")
        self.report(FIRST_START_MS, ended=(ended,))
        self.worker.mark_recorded(1)
        window_end = NOW + OPTIONS.late_order_window
        renewal = self.coordinator.make_renewal(self.worker, 0.0, window_end - 0.1)
        self.assertEqual(renewal.acknowledged, 0)
        renewal = self.coordinator.make_renewal(self.worker, 0.0, window_end + 0.1)
        self.assertEqual(renewal.acknowledged, 1)

    async def test_no_end_is_acknowledged_while_a_start_has_no_result(self) -> None:
        """Guards against a late renewal that acknowledges the end of a late start."""
        [(run, order), (other, other_order)] = self.start_tasks(2)
        self.finish(other, other_order, OrderOutcome.ACCEPTED)
        ended = FinishedRun(1, other.task, other.run, RunOutcome.DONE, "")
        self.report(FIRST_START_MS, ended=(ended,))
        self.worker.mark_recorded(1)
        renewal = self.coordinator.make_renewal(self.worker, 0.0, NOW)
        self.assertEqual(renewal.acknowledged, 0)
        self.finish(run, order, OrderOutcome.ACCEPTED)
        renewal = self.coordinator.make_renewal(self.worker, 0.0, NOW)
        self.assertEqual(renewal.acknowledged, 1)

    async def test_task_with_a_late_start_waits_for_the_list_of_a_restarted_worker(
        self,
    ) -> None:
        """Guards against two runs of a task, one of them by a start that came late."""
        [(run, order)] = self.start_tasks()
        self.finish(run, order, OrderOutcome.UNACKNOWLEDGED)
        self.finish(run, order, OrderOutcome.ACCEPTED)
        running = RunningTask(run.task, run.run, "", 5, 0)
        self.report(FIRST_START_MS, (running,))
        self.register(SECOND_START_MS)
        self.assertIn((run.task, run.run), self.worker.runs)
        self.report(SECOND_START_MS, clock=0.1, now=NOW + 0.1)
        self.assertEqual(self.coordinator.plan(NOW + 0.2, NOW), [])
        window_end = NOW + OPTIONS.late_order_window
        self.assertEqual(self.coordinator.plan(window_end - 0.1, NOW), [])

    async def test_task_waits_for_late_starts_of_its_stopped_run(self) -> None:
        """Guards against a run that a restarted worker repeats beside the next one."""
        [(run, order)] = self.start_tasks()
        self.finish(run, order, OrderOutcome.UNACKNOWLEDGED)
        self.finish(run, order, OrderOutcome.ACCEPTED)
        ended = FinishedRun(1, run.task, run.run, RunOutcome.STOPPED, "")
        self.report(FIRST_START_MS, ended=(ended,))
        window_end = NOW + OPTIONS.late_order_window
        self.assertEqual(self.coordinator.plan(window_end - 0.1, NOW), [])
        self.assertEqual(len(self.coordinator.plan(window_end + 0.1, NOW)), 1)

    async def test_task_waits_for_late_starts_of_a_run_that_was_not_listed(
        self,
    ) -> None:
        """Guards against a run that a restarted worker repeats beside the next one."""
        [(run, order)] = self.start_tasks()
        self.finish(run, order, OrderOutcome.UNACKNOWLEDGED)
        self.finish(run, order, OrderOutcome.ACCEPTED)
        self.report(FIRST_START_MS, now=NOW + 0.1)
        self.assertNotIn((run.task, run.run), self.worker.runs)
        window_end = NOW + OPTIONS.late_order_window
        self.assertEqual(self.coordinator.plan(window_end - 0.1, NOW), [])
        self.assertEqual(len(self.coordinator.plan(window_end + 0.1, NOW)), 1)

    async def test_task_whose_starts_were_acknowledged_runs_again_at_once(
        self,
    ) -> None:
        [(run, order)] = self.start_tasks()
        self.finish(run, order, OrderOutcome.ACCEPTED)
        ended = FinishedRun(1, run.task, run.run, RunOutcome.STOPPED, "")
        self.report(FIRST_START_MS, ended=(ended,))
        self.assertEqual(len(self.coordinator.plan(NOW + 0.1, NOW)), 1)

    async def test_task_waits_for_the_result_of_a_start_of_its_former_run(
        self,
    ) -> None:
        """Guards against a late start that is known only after the next run began."""
        [(run, order)] = self.start_tasks()
        ended = FinishedRun(1, run.task, run.run, RunOutcome.STOPPED, "")
        self.report(FIRST_START_MS, ended=(ended,))
        self.assertEqual(self.coordinator.plan(NOW + 0.1, NOW), [])
        self.finish(run, order, OrderOutcome.UNACKNOWLEDGED)
        window_end = NOW + OPTIONS.late_order_window
        self.assertEqual(self.coordinator.plan(window_end - 0.1, NOW), [])
        self.assertEqual(len(self.coordinator.plan(window_end + 0.1, NOW)), 1)

    async def test_task_runs_again_once_a_start_of_its_former_run_is_acknowledged(
        self,
    ) -> None:
        [(run, order)] = self.start_tasks()
        ended = FinishedRun(1, run.task, run.run, RunOutcome.STOPPED, "")
        self.report(FIRST_START_MS, ended=(ended,))
        self.finish(run, order, OrderOutcome.OUTDATED)
        self.assertEqual(len(self.coordinator.plan(NOW + 0.1, NOW)), 1)

    async def test_waiting_task_starts_only_after_the_list_of_a_restarted_worker(
        self,
    ) -> None:
        """Guards against the repetition of a task that a late start has done."""
        [(run, order)] = self.start_tasks()
        self.finish(run, order, OrderOutcome.UNACKNOWLEDGED)
        self.finish(run, order, OrderOutcome.ACCEPTED)
        ended = FinishedRun(1, run.task, run.run, RunOutcome.STOPPED, "")
        self.report(FIRST_START_MS, ended=(ended,))
        self.register(SECOND_START_MS)
        self.register_other_worker()
        window_end = NOW + OPTIONS.late_order_window
        self.assertEqual(self.coordinator.plan(window_end + 0.1, NOW), [])
        done = FinishedRun(1, run.task, run.run, RunOutcome.DONE, "")
        self.report(SECOND_START_MS, ended=(done,), clock=14.0, now=window_end + 0.2)
        self.assertEqual(self.coordinator.plan(window_end + 0.3, NOW), [])
        [change] = self.coordinator.state.pop_changes(QUEUE, 9)
        self.assertEqual(change.document["phase"], "completed")

    async def test_waiting_task_starts_after_the_lease_of_a_silent_restarted_worker(
        self,
    ) -> None:
        [(run, order)] = self.start_tasks()
        self.finish(run, order, OrderOutcome.UNACKNOWLEDGED)
        self.finish(run, order, OrderOutcome.ACCEPTED)
        ended = FinishedRun(1, run.task, run.run, RunOutcome.STOPPED, "")
        self.report(FIRST_START_MS, ended=(ended,))
        self.register(SECOND_START_MS)
        self.register_other_worker()
        lease_end = (
            NOW + OPTIONS.late_order_window + OPTIONS.accepted_lease / CLOCK_RATE
        )
        self.assertEqual(self.coordinator.plan(lease_end - 0.1, NOW), [])
        self.assertEqual(len(self.coordinator.plan(lease_end + 0.1, NOW)), 1)

    async def test_task_does_not_start_beside_a_run_of_it_that_nobody_recorded(
        self,
    ) -> None:
        [(run, order)] = self.start_tasks()
        self.finish(run, order, OrderOutcome.REFUSED)
        late = RunningTask(run.task, run.run, "", 5, 0)
        self.assertEqual(self.report(FIRST_START_MS, (late,)), 1)
        self.report(FIRST_START_MS, now=NOW + 0.1)
        self.assertEqual(self.coordinator.plan(NOW + 0.2, NOW), [])
        planned = self.coordinator.plan(NOW + ORPHAN_BLOCK_SECONDS + 0.2, NOW)
        self.assertEqual(len(planned), 1)

    async def test_listed_run_shortens_no_longer_wait_for_late_starts(self) -> None:
        [(run, order)] = self.start_tasks()
        self.finish(run, order, OrderOutcome.UNACKNOWLEDGED)
        self.register(SECOND_START_MS)
        [stop] = self.coordinator.orders.pop_stops()
        stop.stop_acknowledged_at = NOW + 0.1
        self.report(SECOND_START_MS, clock=0.1, now=NOW + 0.2)
        late = RunningTask(run.task, run.run, "", 5, 0)
        self.report(SECOND_START_MS, (late,), clock=0.2, now=NOW + 0.3)
        self.report(SECOND_START_MS, clock=0.3, now=NOW + 0.4)
        window_end = NOW + OPTIONS.late_order_window
        self.assertEqual(self.coordinator.plan(window_end - 0.1, NOW), [])

    async def test_end_of_a_run_that_nobody_recorded_counts(self) -> None:
        """Guards against the repetition of a task that a late start has done."""
        [(run, order)] = self.start_tasks()
        self.finish(run, order, OrderOutcome.REFUSED)
        ended = FinishedRun(1, run.task, run.run, RunOutcome.DONE, "")
        self.report(FIRST_START_MS, ended=(ended,))
        self.assertEqual(self.coordinator.plan(NOW + 20.0, NOW), [])
        [change] = self.coordinator.state.pop_changes(QUEUE, 9)
        self.assertEqual(change.document["phase"], "completed")
        self.assertEqual(self.worker.acknowledged, 0)
        self.coordinator.handle_stored_changes([change], NOW, NOW)
        self.assertEqual(self.worker.acknowledged, 1)

    async def test_late_starts_of_a_former_owner_delay_acknowledgements(self) -> None:
        successor = self.make_coordinator(FenceToken(8))
        successor.state.set_former_owners_starts({WORKER: LateStartRecord(NOW + 5.0)})
        self.coordinator = successor
        self.register(FIRST_START_MS)
        worker = successor.state.ensure_worker(WORKER)
        worker.acknowledged = 3
        self.assertEqual(successor.make_renewal(worker, 0.0, NOW).acknowledged, 0)
        renewal = successor.make_renewal(worker, 0.0, NOW + 5.1)
        self.assertEqual(renewal.acknowledged, 3)

    async def test_runs_of_an_unreachable_restarted_worker_wait_for_late_orders(
        self,
    ) -> None:
        [(run, order)] = self.start_tasks()
        self.finish(run, order, OrderOutcome.UNACKNOWLEDGED)
        self.register(SECOND_START_MS)
        last_executed_at = NOW + OPTIONS.late_order_window
        lease_end = last_executed_at + OPTIONS.accepted_lease / CLOCK_RATE
        self.coordinator.handle_renewal_failure(self.worker, lease_end - 0.1)
        self.coordinator.plan(lease_end - 0.1, NOW)
        self.assertIn((run.task, run.run), self.worker.runs)

    async def test_former_lease_record_says_nothing_about_a_new_incarnation(
        self,
    ) -> None:
        self.coordinator = self.make_coordinator(FenceToken(8))
        self.register(SECOND_START_MS)
        expiry = self.worker.lease_end
        lease = RecordedLease(FIRST_START_MS, 1.0)
        self.coordinator.state.set_recorded_leases({WORKER: lease})
        self.assertEqual(self.worker.lease_end, expiry)
        self.assertIsNone(self.worker.issue_lease(NOW, OPTIONS.lease))

    async def test_first_contact_with_a_young_incarnation_allows_for_its_longest_lease(
        self,
    ) -> None:
        self.register(SECOND_START_MS)
        self.report(SECOND_START_MS, clock=3.0)
        self.assertGreater(self.worker.lease_end, NOW + OPTIONS.accepted_lease)
        self.register(2 * SECOND_START_MS)
        self.report(2 * SECOND_START_MS, clock=50.0)
        longest_lease = OPTIONS.longest_lease / CLOCK_RATE
        self.assertLess(self.worker.lease_end, NOW + longest_lease + 1.0)

    async def test_listed_run_of_a_former_owner_waits_for_the_new_incarnation(
        self,
    ) -> None:
        [(run, order)] = self.start_tasks()
        self.finish(run, order, OrderOutcome.ACCEPTED)
        # The present owner has sent no start; the former one may have repeated it.
        run.first_sent_at = 0.0
        run.is_start_sent = False
        self.coordinator.state.owned_since = NOW
        self.report(FIRST_START_MS, (RunningTask(run.task, run.run, "", 5, 0),))
        self.register(SECOND_START_MS)
        self.assertIn((run.task, run.run), self.worker.runs)
        self.report(SECOND_START_MS, now=NOW + 0.1, clock=0.1)
        self.assertNotIn((run.task, run.run), self.worker.runs)

    async def test_unlisted_run_of_a_gang_waits_for_starts_of_the_former_owner(
        self,
    ) -> None:
        record = make_record(0, 2)
        step = replace(record.steps[0], gang=True)
        record = replace(record, steps=(step,))
        self.coordinator.add_job(record, None, NOW)
        self.assertEqual(len(self.coordinator.plan(NOW, NOW)), 2)
        document = self.coordinator.state.jobs[record.job].to_document()
        self.coordinator = self.make_coordinator(FenceToken(8))
        self.coordinator.state.owned_since = NOW
        self.coordinator.add_job(record, document, NOW)
        self.register(FIRST_START_MS)
        self.report(FIRST_START_MS, now=NOW + 0.1)
        self.report(FIRST_START_MS, now=NOW + 1.0)
        self.assertEqual(self.coordinator.plan(NOW + 1.0, NOW), [])
        end = NOW + OPTIONS.late_order_window + 0.1
        self.report(FIRST_START_MS, now=end)
        self.assertEqual(len(self.coordinator.plan(end, NOW)), 2)

    async def test_planned_run_waits_while_another_worker_lists_a_run_of_its_task(
        self,
    ) -> None:
        self.coordinator.add_job(make_record(0, 1), None, NOW)
        (run,) = self.coordinator.plan(NOW, NOW)
        run.stage = RunStage.RECORDED
        self.register_other_worker()
        other = self.coordinator.state.workers[OTHER_WORKER]
        stray = RunningTask(run.task, RunNumber(run.run + 1), "", 5, 0)
        report = RenewalReport(FIRST_START_MS, 50.0, (stray,), ())
        self.coordinator.handle_renewal_report(other, report, NOW, NOW)
        self.assertIsNone(self.coordinator.orders.make_start(run, NOW))
        later = NOW + ORPHAN_BLOCK_SECONDS
        self.report(FIRST_START_MS, now=later)
        self.assertIsNotNone(self.coordinator.orders.make_start(run, later))

    async def test_start_without_a_response_is_repeated_after_a_later_response(
        self,
    ) -> None:
        [(run, _)] = self.start_tasks()
        sent_at = NOW + 0.1
        result = OrderResult(OrderOutcome.UNACKNOWLEDGED)
        orders = self.coordinator.orders
        order = orders.make_start(run, sent_at)
        assert order is not None
        orders.handle_start_result(run, order, result, sent_at, sent_at)
        self.assertIsNone(orders.make_start(run, sent_at + 0.02))
        self.report(FIRST_START_MS, now=sent_at + 0.05)
        self.assertIsNotNone(orders.make_start(run, sent_at + 0.06))

    async def test_ends_of_a_worker_in_another_pool_are_not_acknowledged(self) -> None:
        task = TaskKey(JobId("1"), 0, 0, 0)
        ended = FinishedRun(1, task, RunNumber(1), RunOutcome.DONE, "")
        self.report(FIRST_START_MS, (), (ended,))
        self.assertEqual(self.renew(), 0)
        # The owner of the job's pool has to learn of the end first.
        [end] = self.coordinator.pop_foreign_ends()
        self.assertEqual(end.task, task)
        self.coordinator.handle_recorded_end(end.finished_run)
        self.assertEqual(self.renew(), 1)
        self.coordinator.handle_deregistration(WORKER)
        self.assertEqual(self.renew(), 0)
        self.register(FIRST_START_MS)
        self.assertEqual(self.renew(), 1)

    async def test_task_that_ran_before_waits_for_a_start_of_a_former_owner(
        self,
    ) -> None:
        [(run, _)] = self.start_tasks()
        job = self.coordinator.state.jobs[run.task.job]
        self.coordinator.state.release_run(job, job.find_task(run.task), NOW)
        document = job.to_document()
        end = NOW + 5.0
        step, other = run.task[:3], (run.task.job, 0, 1)
        for record, is_waiting in (
            (LateStartRecord(end, run.reserved, {step: 1}), True),
            (LateStartRecord(end, run.reserved, {}, are_steps_known=False), True),
            (LateStartRecord(end, run.reserved, {other: 1}), False),
        ):
            for is_record_first in (False, True):
                with self.subTest(record=record, is_record_first=is_record_first):
                    self.coordinator = self.make_coordinator(FenceToken(8))
                    records = {OTHER_WORKER: record}
                    if is_record_first:
                        self.coordinator.state.set_former_owners_starts(records)
                    self.coordinator.add_job(job.record, document, NOW)
                    self.coordinator.state.set_former_owners_starts(records)
                    self.register(FIRST_START_MS)
                    self.report(FIRST_START_MS)
                    self.report(FIRST_START_MS)
                    plan = self.coordinator.plan(end - 0.1, NOW)
                    self.assertEqual(plan == [], is_waiting)

    def renew(self) -> int:
        """Return the position up to which a renewal acknowledges finished runs."""
        return self.coordinator.make_renewal(self.worker, 0.0, NOW).acknowledged

    async def test_worker_with_an_unknown_start_time_gets_tasks(self) -> None:
        self.coordinator = self.make_coordinator(FenceToken(8))
        self.register(0)
        self.report(FIRST_START_MS)
        self.report(FIRST_START_MS)
        self.start_tasks()

    async def test_worker_that_has_acknowledged_a_stop_gets_no_task_before_it_reports(
        self,
    ) -> None:
        [(run, _)] = self.start_tasks()
        self.register(SECOND_START_MS)
        stop = self.coordinator.orders.make_stop(run)
        assert stop is not None
        result = OrderResult(OrderOutcome.ACCEPTED, 0.1)
        self.coordinator.orders.handle_stop_result(run, stop, result, NOW)
        self.assertFalse(self.worker.has_seen_token)
        self.assertFalse(self.worker.is_available)

    async def test_stop_acknowledged_by_an_unknown_incarnation_acknowledges_no_run(
        self,
    ) -> None:
        first, second = self.start_tasks(2)
        for run, order in (first, second):
            self.finish(run, order, OrderOutcome.ACCEPTED)
        ended = FinishedRun(1, first[0].task, first[0].run, RunOutcome.DONE, "")
        running = RunningTask(second[0].task, second[0].run, "", 5, 0)
        self.report(FIRST_START_MS, (running,), (ended,))
        self.worker.mark_recorded(1)
        stop = self.coordinator.orders.make_stop(second[0])
        assert stop is not None
        result = OrderResult(OrderOutcome.ACCEPTED, 0.2)
        self.coordinator.orders.handle_stop_result(second[0], stop, result, NOW)
        renewal = self.coordinator.make_renewal(self.worker, 0.0, NOW)
        self.assertEqual(renewal.acknowledged, 0)
        self.assertIsNone(renewal.deadline)

    async def test_response_to_an_order_does_not_end_the_unresponsiveness(self) -> None:
        [(run, _)] = self.start_tasks()
        stop = self.coordinator.orders.make_stop(run)
        assert stop is not None
        self.coordinator.handle_renewal_failure(self.worker, NOW)
        result = OrderResult(OrderOutcome.ACCEPTED, 51.0)
        self.coordinator.orders.handle_stop_result(run, stop, result, NOW)
        self.assertTrue(self.worker.unresponsive_since)

    async def test_record_of_a_former_incarnation_hides_no_lease_of_the_present_one(
        self,
    ) -> None:
        lease = RecordedLease(FIRST_START_MS, NOW - 1.0)
        self.coordinator.state.set_recorded_leases({WORKER: lease})
        self.register(SECOND_START_MS)
        self.report(SECOND_START_MS, clock=3.0)
        self.coordinator.state.set_recorded_leases({})
        self.assertGreater(self.worker.lease_end, NOW + OPTIONS.accepted_lease)

    async def test_incarnation_with_an_earlier_start_time_keeps_no_run_waiting(
        self,
    ) -> None:
        self.register(SECOND_START_MS)
        self.report(SECOND_START_MS)
        [(run, order)] = self.start_tasks()
        self.finish(run, order, OrderOutcome.UNACKNOWLEDGED)
        self.report(FIRST_START_MS)
        self.assertEqual(run.incarnation, self.worker.incarnation)
        self.assertIs(run.stage, RunStage.STOPPING)

    async def test_runs_of_the_present_incarnation_do_not_wait_for_late_orders(
        self,
    ) -> None:
        [(run, order)] = self.start_tasks()
        self.finish(run, order, OrderOutcome.ACCEPTED)
        self.coordinator = self.make_coordinator(FenceToken(8))
        self.coordinator.state.ensure_worker(WORKER).add_run(run)
        expiry = self.worker.lease_end
        self.register(FIRST_START_MS)
        longest_lease = OPTIONS.longest_lease / CLOCK_RATE
        self.assertLessEqual(self.worker.lease_end, max(expiry, NOW + longest_lease))

    async def test_no_task_is_placed_by_the_registration_of_a_former_incarnation(
        self,
    ) -> None:
        self.report(SECOND_START_MS, clock=0.1)
        self.report(SECOND_START_MS, clock=0.2)
        self.coordinator.add_job(make_record(0, 4), None, NOW)
        self.assertEqual(self.coordinator.plan(NOW, NOW), [])
        self.register(SECOND_START_MS, SMALL_CAPACITY)
        self.assertLessEqual(len(self.coordinator.plan(NOW, NOW)), 1)

    async def test_no_task_starts_beside_a_run_that_no_owner_has_recorded(self) -> None:
        orphan = RunningTask(
            TaskKey(make_record(9, 1).job, 0, 0, 0), RunNumber(1), "", 0, 0
        )
        [(run, _)] = self.start_tasks()
        self.assertEqual(self.report(FIRST_START_MS, (orphan,)), 1)
        self.assertIsNone(self.coordinator.orders.make_start(run, NOW))
        self.coordinator.add_job(make_record(1, 1), None, NOW)
        self.assertEqual(self.coordinator.plan(NOW, NOW), [])
        self.report(FIRST_START_MS)
        self.assertIsNotNone(self.coordinator.orders.make_start(run, NOW))
        self.assertEqual(len(self.coordinator.plan(NOW, NOW)), 1)
