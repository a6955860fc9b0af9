"""Repeated starts of long-running tasks whose worker has restarted.

The tests guard against a second run beside a start of a former owner, and against
repeated starts that keep a task absent or hide that it crashes its workers.
"""

from jujubebarrow.coordinators.active_runs import ActiveRun, RunStage
from jujubebarrow.coordinators.order_results import OrderOutcome, OrderResult
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.coordinators.reconcilers import SURVIVAL_SECONDS
from jujubebarrow.coordinators.task_states import TaskState
from jujubebarrow.tests.fakes.job_clusters import POOL
from jujubebarrow.tests.test_lasting_late_starts import (
    ABSENCE_END,
    FIRST_START_MS,
    FORMER,
    NOW,
    OPTIONS,
    OTHER,
    RESTART_SECONDS,
    SECOND_START_MS,
    THIRD_START_MS,
    LastingLateStartCase,
)
from jujubebarrow.workloads.identifiers import FenceToken
from jujubebarrow.workloads.worker_reports import RunningTask, WorkerState

PROBE_SECONDS = 0.1
SILENCE_SECONDS = 40.0


class RepeatedLostStartTest(LastingLateStartCase):
    def find_task(self, run: ActiveRun) -> TaskState:
        task = self.coordinator.state.jobs[run.task.job].find_task(run.task)
        assert task is not None
        return task

    def take_over(self, former: ActiveRun) -> ActiveRun:
        """Let another instance take over the pool; return its view of a run."""
        job = self.coordinator.state.jobs[former.task.job]
        document = job.to_document()
        token = FenceToken(self.coordinator.state.token + 1)
        self.coordinator = PoolCoordinator(POOL, token, OPTIONS, NOW, self.log)
        for name in (FORMER, OTHER):
            self.register(name, FIRST_START_MS)
        self.coordinator.add_job(job.record, document, NOW)
        run = self.find_task(former).active
        assert run is not None
        return run

    def send_start(self, run: ActiveRun, outcome: OrderOutcome, now: float) -> None:
        order = self.coordinator.orders.make_start(run, now)
        assert order is not None
        result = OrderResult(outcome, now)
        self.coordinator.orders.handle_start_result(run, order, result, now, now)

    async def test_run_listed_to_the_next_owner_does_not_start_elsewhere(self) -> None:
        run = self.take_over(self.start([OrderOutcome.ACCEPTED]))
        listed = RunningTask(run.task, run.run, "", 0, 0)
        self.report(FORMER, FIRST_START_MS, NOW, listed)
        self.report(OTHER, FIRST_START_MS, NOW)
        self.assertIs(run.stage, RunStage.CONFIRMED)
        self.register(FORMER, SECOND_START_MS)
        now = NOW + RESTART_SECONDS
        self.report(FORMER, SECOND_START_MS, now)
        self.assertEqual(self.plan(now), [])
        self.assertIs(self.find_task(run).active, run)
        self.assertEqual(self.coordinator.orders.pop_starts(), [run])

    async def test_repeated_start_does_not_prove_that_the_worker_survives(self) -> None:
        run = self.lose_run()
        task = self.find_task(run)
        self.assertEqual(task.crashes, 1)
        now = NOW + 2 * SURVIVAL_SECONDS
        self.report(FORMER, SECOND_START_MS, now)
        self.send_start(run, OrderOutcome.ACCEPTED, now)
        listed = RunningTask(run.task, run.run, "", 0, 0)
        self.report(FORMER, SECOND_START_MS, now + PROBE_SECONDS, listed)
        self.assertEqual((run.is_proven, task.crashes), (False, 1))
        self.report(FORMER, SECOND_START_MS, now + SURVIVAL_SECONDS, listed)
        self.assertEqual((run.is_proven, task.crashes), (True, 0))

    async def test_rejected_start_is_not_repeated_to_the_same_incarnation(self) -> None:
        run = self.lose_run()
        self.coordinator.orders.pop_starts()
        now = NOW + RESTART_SECONDS
        self.report(FORMER, SECOND_START_MS, now)
        self.send_start(run, OrderOutcome.OUTDATED, now)
        self.report(FORMER, SECOND_START_MS, now + PROBE_SECONDS)
        self.assertIsNone(self.find_task(run).active)
        self.assertEqual(self.coordinator.orders.pop_starts(), [])
        self.report(FORMER, SECOND_START_MS, ABSENCE_END + 1.0)
        self.assertEqual(self.plan(ABSENCE_END + 1.0), [OTHER])

    async def test_rejected_start_is_repeated_to_the_next_incarnation(self) -> None:
        run = self.lose_run()
        self.coordinator.orders.pop_starts()
        now = NOW + RESTART_SECONDS
        self.report(FORMER, SECOND_START_MS, now)
        self.send_start(run, OrderOutcome.OUTDATED, now)
        self.register(FORMER, THIRD_START_MS)
        self.assertEqual(self.coordinator.orders.pop_starts(), [run])

    def find_next_start(self, is_registered: bool) -> float:
        """Return when the task starts elsewhere if its worker stays out of reach."""
        view = self.coordinator.state.workers[FORMER]
        now = NOW
        while now < NOW + SILENCE_SECONDS:
            now += PROBE_SECONDS
            view.record_failure(now)
            self.report(OTHER, FIRST_START_MS, now)
            if not is_registered:
                self.coordinator.handle_deregistration(FORMER)
            if OTHER in self.plan(now):
                return now
        return now

    async def test_task_of_a_restarted_worker_that_is_gone_starts_in_time(self) -> None:
        self.lose_run()
        end = self.find_next_start(is_registered=False)
        self.assertLess(abs(end - ABSENCE_END), 2 * PROBE_SECONDS)

    async def test_stopped_task_of_a_restarted_worker_that_is_gone_starts_in_time(
        self,
    ) -> None:
        self.lose_run(WorkerState.DRAINING)
        end = self.find_next_start(is_registered=False)
        self.assertLess(abs(end - ABSENCE_END), 2 * PROBE_SECONDS)

    async def test_task_of_a_registered_silent_worker_does_not_start_elsewhere(
        self,
    ) -> None:
        self.lose_run()
        end = self.find_next_start(is_registered=True)
        self.assertGreater(end, NOW + OPTIONS.late_order_window)

    async def test_run_of_a_former_owner_keeps_its_worker_until_its_lease_ends(
        self,
    ) -> None:
        self.take_over(self.start([OrderOutcome.ACCEPTED]))
        self.register(FORMER, SECOND_START_MS)
        end = self.find_next_start(is_registered=False)
        leases_end = self.coordinator.state.former_leases_end
        self.assertGreater(leases_end, NOW + OPTIONS.longest_lease)
        self.assertLess(abs(end - leases_end), 2 * PROBE_SECONDS)

    async def test_run_of_a_former_owner_on_a_worker_that_has_not_restarted_expires(
        self,
    ) -> None:
        self.take_over(self.start([OrderOutcome.ACCEPTED]))
        view = self.coordinator.state.workers[FORMER]
        end = self.find_next_start(is_registered=False)
        self.assertGreater(end, view.timely_lease_end)

    async def test_worker_of_a_stopped_run_of_a_former_owner_is_asked_for_signs_of_life(
        self,
    ) -> None:
        run = self.take_over(self.start([OrderOutcome.ACCEPTED]))
        self.register(FORMER, SECOND_START_MS, WorkerState.DRAINING)
        now = NOW + RESTART_SECONDS
        self.report(FORMER, SECOND_START_MS, now)
        order = self.coordinator.orders.make_stop(run)
        assert order is not None
        result = OrderResult(OrderOutcome.ACCEPTED, now)
        self.coordinator.orders.handle_stop_result(run, order, result, now)
        now += PROBE_SECONDS
        self.report(FORMER, SECOND_START_MS, now)
        task = self.find_task(run)
        end = self.coordinator.state.former_starts_end
        self.assertEqual((task.active, task.late_starts), (None, {FORMER: end}))
        view = self.coordinator.state.workers[FORMER]
        self.assertTrue(view.may_start_late(end - PROBE_SECONDS))
        self.assertFalse(view.may_start_late(end))
