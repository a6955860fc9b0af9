"""Long-running tasks whose former start a worker may still execute.

The tests guard against a second run of such a task beside the former start, and against
a task that waits for longer than its users accept.
"""

import unittest
from dataclasses import replace

from jujubebarrow.coordinators.active_runs import ActiveRun, RunStage
from jujubebarrow.coordinators.late_start_waits import ABSENCE_SECONDS, START_SECONDS
from jujubebarrow.coordinators.order_results import OrderOutcome, OrderResult
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.coordinators.pool_states import TAKEOVER_SECONDS
from jujubebarrow.coordinators.task_states import DELAYED_CRASH_COUNT
from jujubebarrow.coordinators.wait_recorders import (
    FIRST_LINE_SECONDS,
    WaitReason,
    WaitRecorder,
)
from jujubebarrow.identifiers import JobId, ZoneId
from jujubebarrow.tests.fakes.fake_documents import ListLog
from jujubebarrow.tests.fakes.job_clusters import POOL
from jujubebarrow.tests.test_planning_work import make_record
from jujubebarrow.tests.test_restarted_workers import NOW, OPTIONS
from jujubebarrow.workloads.identifiers import FenceToken, WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec
from jujubebarrow.workloads.worker_reports import (
    RenewalReport,
    RunningTask,
    WorkerEntry,
    WorkerState,
)

FORMER = WorkerId("w0")
OTHER = WorkerId("w1")
FIRST_START_MS = 1_000
SECOND_START_MS = 60_000
THIRD_START_MS = 70_000
CAPACITY = Resources(8000, 16000)
LASTING = StepSpec(needs=Resources(2000, 4000), long_running=True)
RESTART_SECONDS = 0.5
ABSENCE_END = NOW + ABSENCE_SECONDS - START_SECONDS
LATE_START_END = NOW + OPTIONS.late_order_window


class LastingLateStartCase(unittest.IsolatedAsyncioTestCase):
    """Pool of two workers with one long-running task."""

    async def asyncSetUp(self) -> None:
        self.log = ListLog()
        self.coordinator = PoolCoordinator(POOL, FenceToken(7), OPTIONS, 0.0, self.log)
        for name in (FORMER, OTHER):
            self.register(name, FIRST_START_MS)
            self.report(name, FIRST_START_MS, NOW)
        record = replace(make_record(1, 1), steps=(LASTING,))
        self.coordinator.add_job(record, None, NOW)

    def register(
        self,
        name: WorkerId,
        born: int,
        state: WorkerState = WorkerState.READY,
        capacity: Resources = CAPACITY,
    ) -> None:
        entry = WorkerEntry(
            worker=name,
            started_at_ms=born,
            pool=POOL,
            address=name,
            zone=ZoneId("z"),
            state=state,
            capacity=capacity,
        )
        self.coordinator.handle_registration(entry, NOW)

    def report(
        self, name: WorkerId, born: int, now: float, *running: RunningTask
    ) -> None:
        view = self.coordinator.state.workers[name]
        report = RenewalReport(born, now, running, ())
        self.coordinator.handle_renewal_report(view, report, now, now)

    def plan(self, now: float) -> list[WorkerId]:
        """Return the workers that runs are planned for."""
        return [run.worker for run in self.coordinator.plan(now, now)]

    def start(self, outcomes: list[OrderOutcome]) -> ActiveRun:
        """Start the task; its start orders have the given outcomes."""
        view = self.coordinator.state.workers[OTHER]
        view.is_cordoned = True
        [run] = self.coordinator.plan(NOW, NOW)
        view.is_cordoned = False
        run.stage = RunStage.RECORDED
        for outcome in outcomes:
            order = self.coordinator.orders.make_start(run, NOW)
            assert order is not None
            run.is_start_sent = True
            result = OrderResult(outcome, NOW)
            self.coordinator.orders.handle_start_result(run, order, result, NOW, NOW)
        return run

    def lose_run(self, state: WorkerState = WorkerState.READY) -> ActiveRun:
        """Let the worker restart after a start without a response and an accepted one.

        The owner knows of the restart and has not reached the new incarnation.
        """
        run = self.start([OrderOutcome.UNACKNOWLEDGED, OrderOutcome.ACCEPTED])
        self.register(FORMER, SECOND_START_MS, state)
        return run

    def end_run(self) -> None:
        """Let the run end since its worker, which drains, has restarted."""
        run = self.lose_run(WorkerState.DRAINING)
        now = NOW + RESTART_SECONDS
        self.report(FORMER, SECOND_START_MS, now)
        order = self.coordinator.orders.make_stop(run)
        assert order is not None
        result = OrderResult(OrderOutcome.ACCEPTED, now)
        self.coordinator.orders.handle_stop_result(run, order, result, now)
        self.report(FORMER, SECOND_START_MS, now + 0.1)


class LastingLateStartTest(LastingLateStartCase):
    async def test_lost_run_starts_again_on_its_worker(self) -> None:
        run = self.lose_run()
        self.assertEqual(self.coordinator.orders.pop_starts(), [run])
        self.assertEqual(self.coordinator.orders.pop_late_start_stops(), [])
        self.assertIsNone(self.coordinator.orders.make_start(run, NOW))
        self.report(FORMER, SECOND_START_MS, NOW + RESTART_SECONDS)
        order = self.coordinator.orders.make_start(run, NOW + RESTART_SECONDS)
        assert order is not None
        self.assertEqual((order.worker, order.run), (FORMER, run.run))
        self.assertEqual(self.plan(NOW + RESTART_SECONDS), [])

    async def test_response_of_a_former_incarnation_confirms_no_repeated_start(
        self,
    ) -> None:
        run = self.start([OrderOutcome.UNACKNOWLEDGED])
        order = self.coordinator.orders.make_start(run, NOW)
        assert order is not None
        self.register(FORMER, SECOND_START_MS)
        result = OrderResult(OrderOutcome.ACCEPTED, NOW)
        self.coordinator.orders.handle_start_result(run, order, result, NOW, NOW)
        self.assertIs(run.stage, RunStage.RECORDED)

    async def test_lost_run_is_not_started_beyond_a_smaller_capacity(self) -> None:
        run = self.lose_run()
        self.report(FORMER, SECOND_START_MS, NOW + RESTART_SECONDS)
        self.register(FORMER, SECOND_START_MS, capacity=Resources(1000, 1000))
        self.assertIsNone(self.coordinator.orders.make_start(run, NOW + 1.0))
        self.assertIs(run.stage, RunStage.STOPPING)

    async def test_lost_run_that_may_crash_its_workers_does_not_start_again_at_once(
        self,
    ) -> None:
        run = self.start([OrderOutcome.UNACKNOWLEDGED])
        job = self.coordinator.state.jobs[run.task.job]
        task = job.find_task(run.task)
        assert task is not None
        task.crashes = DELAYED_CRASH_COUNT
        self.register(FORMER, SECOND_START_MS)
        self.assertIs(run.stage, RunStage.STOPPING)

    async def test_task_runs_elsewhere_before_its_absence_counts(self) -> None:
        self.end_run()
        self.report(FORMER, SECOND_START_MS, ABSENCE_END)
        self.assertEqual(self.plan(ABSENCE_END - 0.1), [])
        self.assertEqual(self.plan(ABSENCE_END + 0.1), [OTHER])

    async def test_task_waits_for_a_worker_without_a_recent_response(self) -> None:
        self.end_run()
        self.assertEqual(self.plan(LATE_START_END - 0.1), [])
        self.assertEqual(self.plan(LATE_START_END + 0.1), [OTHER])

    async def test_task_waits_for_a_registered_worker_that_is_out_of_reach(
        self,
    ) -> None:
        self.end_run()
        self.register(FORMER, THIRD_START_MS)
        view = self.coordinator.state.workers[FORMER]
        end = self.coordinator.state.find_late_expiry(view)
        self.assertGreater(end, LATE_START_END)
        self.assertEqual(self.plan(end - 0.1), [])
        self.assertEqual(self.plan(end + 0.1), [OTHER])

    async def test_task_waits_no_longer_for_a_worker_that_is_gone(self) -> None:
        self.end_run()
        self.coordinator.handle_deregistration(FORMER)
        self.assertEqual(self.plan(ABSENCE_END - 0.1), [])
        self.assertEqual(self.plan(ABSENCE_END + 0.1), [OTHER])

    async def test_task_waits_for_longer_after_a_fault_of_another_worker(self) -> None:
        self.end_run()
        later = NOW + 5.0
        self.report(OTHER, FIRST_START_MS, later)
        self.register(OTHER, SECOND_START_MS)
        self.report(OTHER, SECOND_START_MS, later)
        self.report(FORMER, SECOND_START_MS, later + 5.5)
        self.assertEqual(self.plan(ABSENCE_END + 0.1), [])
        self.assertEqual(self.plan(later + 5.6), [OTHER])

    async def test_task_starts_at_once_if_no_start_lacks_a_response(self) -> None:
        self.start([OrderOutcome.ACCEPTED])
        self.register(FORMER, SECOND_START_MS)
        self.report(FORMER, SECOND_START_MS, NOW + RESTART_SECONDS)
        self.report(FORMER, SECOND_START_MS, NOW + RESTART_SECONDS)
        self.assertEqual(self.plan(NOW + 1.0), [OTHER])

    async def test_task_waits_for_the_result_of_a_start(self) -> None:
        run = self.start([OrderOutcome.ACCEPTED])
        run.stage = RunStage.RECORDED
        order = self.coordinator.orders.make_start(run, NOW)
        assert order is not None
        job = self.coordinator.state.jobs[run.task.job]
        task = job.find_task(run.task)
        assert task is not None
        self.coordinator.state.release_run(job, task, NOW)
        self.assertEqual(self.plan(NOW), [])
        result = OrderResult(OrderOutcome.ACCEPTED, NOW)
        self.coordinator.orders.handle_start_result(run, order, result, NOW, NOW)
        self.assertEqual(len(self.plan(NOW)), 1)

    async def test_takeover_counts_as_a_recent_fault(self) -> None:
        state = PoolCoordinator(POOL, FenceToken(8), OPTIONS, NOW, self.log).state
        self.assertEqual(state.last_fault_at, NOW - TAKEOVER_SECONDS)

    async def test_wait_is_logged_with_the_worker_that_may_execute_the_start(
        self,
    ) -> None:
        self.end_run()
        [line] = [each for each in self.log.lines if "late_start" in each["event"]]
        self.assertEqual((line["worker"], line["reached"]), (FORMER, True))
        self.assertEqual(line["until"], LATE_START_END)

    async def test_wait_for_a_late_start_is_logged_with_the_end_in_force(self) -> None:
        self.end_run()
        self.coordinator.handle_deregistration(FORMER)
        view = self.coordinator.state.workers[FORMER]
        view.replace_token(self.coordinator.state.issue_token())
        for number in range(5):
            self.plan(NOW + 1.0 + number * FIRST_LINE_SECONDS / 4)
        [line] = [each for each in self.log.lines if each["event"] == "tasks_wait"]
        self.assertEqual((line["lacks"], line["task"]), ("late-start", 0))
        self.assertGreater(line["until"][FORMER], LATE_START_END)
        self.assertEqual(line["registered"], [])

    async def test_task_waits_for_no_worker_that_has_ended(self) -> None:
        self.end_run()
        self.assertEqual(self.plan(NOW + 2.0), [])
        self.coordinator.handle_worker_end(FORMER, "machine moved")
        self.assertEqual(self.plan(NOW + 2.0), [OTHER])
        self.assertNotIn(FORMER, self.coordinator.state.workers)

    async def test_run_of_a_worker_that_has_ended_starts_elsewhere(self) -> None:
        run = self.start([OrderOutcome.UNACKNOWLEDGED])
        self.coordinator.handle_worker_end(FORMER, "machine moved")
        self.assertEqual(self.plan(NOW + RESTART_SECONDS), [OTHER])
        self.assertIsNone(self.coordinator.orders.make_start(run, NOW))

    async def test_result_of_a_start_after_the_end_of_its_worker_is_not_waited_for(
        self,
    ) -> None:
        run = self.start([])
        order = self.coordinator.orders.make_start(run, NOW)
        assert order is not None
        run.is_start_sent = True
        self.coordinator.handle_worker_end(FORMER, "machine moved")
        self.assertEqual(self.plan(NOW), [])
        result = OrderResult(OrderOutcome.UNACKNOWLEDGED, NOW + 0.5)
        self.coordinator.orders.handle_start_result(run, order, result, NOW, NOW + 0.5)
        self.assertEqual(self.plan(NOW + 0.5), [OTHER])

    async def test_registration_of_a_worker_that_has_ended_is_ignored(self) -> None:
        self.coordinator.handle_worker_end(FORMER, "machine moved")
        self.register(OTHER, FIRST_START_MS, WorkerState.DRAINING)
        self.plan(NOW)
        self.register(FORMER, FIRST_START_MS)
        self.assertNotIn(FORMER, self.coordinator.state.workers)

    async def test_worker_that_starts_again_under_its_id_gets_tasks(self) -> None:
        self.coordinator.handle_worker_end(FORMER, "machine moved")
        self.register(OTHER, FIRST_START_MS, WorkerState.DRAINING)
        self.plan(NOW)
        self.register(FORMER, SECOND_START_MS)
        self.report(FORMER, SECOND_START_MS, NOW + RESTART_SECONDS)
        self.assertEqual(self.plan(NOW + RESTART_SECONDS), [FORMER])

    async def test_registration_of_an_unknown_ended_worker_is_ignored(self) -> None:
        """Guards against a first sight of a registration that counts as a restart."""
        self.coordinator.state.workers.pop(FORMER)
        self.coordinator.handle_worker_end(FORMER, "machine moved")
        self.register(FORMER, FIRST_START_MS)
        self.assertNotIn(FORMER, self.coordinator.state.workers)

    async def test_wait_after_another_one_is_logged_with_its_own_age(self) -> None:
        step = (JobId("j"), 0, 0)
        recorder = WaitRecorder(self.log)
        for now in (0.0, 50.0, 50.9, 51.8, 52.7):
            recorder.record(step, WaitReason.LATE_START, now, dict)
        ages = [line["seconds"] for line in self.log.lines]
        self.assertEqual(ages, [2.7])
