"""Runs that only a later incarnation of their worker may execute.

The tests guard against a long-running task that waits for the capacity of such runs
although its worker has room.
"""

from dataclasses import replace

from jujubebarrow.coordinators.active_runs import ActiveRun
from jujubebarrow.coordinators.order_results import OrderOutcome
from jujubebarrow.coordinators.planners import LATE_STARTS_WAIT_SECONDS
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.tests.fakes.job_clusters import POOL
from jujubebarrow.tests.test_lasting_late_starts import (
    CAPACITY,
    FORMER,
    LASTING,
    NOW,
    OPTIONS,
    RESTART_SECONDS,
    SECOND_START_MS,
    THIRD_START_MS,
    LastingLateStartCase,
)
from jujubebarrow.tests.test_planning_work import make_record
from jujubebarrow.workloads.identifiers import FenceToken
from jujubebarrow.workloads.resources import NO_RESOURCES
from jujubebarrow.workloads.step_specs import StepSpec
from jujubebarrow.workloads.worker_reports import RunningTask

REPORTED_AT = NOW + RESTART_SECONDS
WHOLE_WORKER = StepSpec(needs=CAPACITY)


class AbsentRunTest(LastingLateStartCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        [lasting] = self.coordinator.state.jobs.values()
        self.coordinator.state.remove_job(lasting)
        record = replace(make_record(2, 1), steps=(WHOLE_WORKER,))
        self.coordinator.add_job(record, None, NOW)

    def take_over(self) -> ActiveRun:
        """Let another instance take over the pool after a restart of the worker.

        Returns:
            The former owner's run, which fills the worker.
        """
        former = self.start([OrderOutcome.ACCEPTED])
        job = self.coordinator.state.jobs[former.task.job]
        token = FenceToken(self.coordinator.state.token + 1)
        self.coordinator = PoolCoordinator(POOL, token, OPTIONS, NOW, self.log)
        self.register(FORMER, SECOND_START_MS)
        self.coordinator.add_job(job.record, job.to_document(), NOW)
        [run] = self.coordinator.state.jobs[former.task.job].active_runs()
        self.report(FORMER, SECOND_START_MS, REPORTED_AT)
        return run

    def add_lasting(self) -> None:
        record = replace(make_record(1, 1), steps=(LASTING,))
        self.coordinator.add_job(record, None, REPORTED_AT)

    async def test_long_running_task_waits_for_no_run_that_its_worker_does_not_list(
        self,
    ) -> None:
        self.take_over()
        self.add_lasting()
        self.assertEqual(self.plan(REPORTED_AT), [])
        later = REPORTED_AT + LATE_STARTS_WAIT_SECONDS
        self.report(FORMER, SECOND_START_MS, later)
        self.assertEqual(self.plan(later), [FORMER])

    async def test_long_running_task_waits_for_no_suspect_that_its_worker_does_not_list(
        self,
    ) -> None:
        run = self.take_over()
        view = self.coordinator.state.workers[FORMER]
        view.remove_run(run, REPORTED_AT)
        run.is_suspect = True
        view.add_run(run)
        self.assertTrue(view.has_unproven_suspect)
        self.report(FORMER, SECOND_START_MS, REPORTED_AT + 0.1)
        self.assertFalse(view.has_unproven_suspect)
        self.register(FORMER, THIRD_START_MS)
        self.assertTrue(view.has_unproven_suspect)

    async def test_absent_run_keeps_finite_tasks_away(self) -> None:
        self.take_over()
        record = replace(make_record(1, 1), steps=(StepSpec(needs=LASTING.needs),))
        self.coordinator.add_job(record, None, REPORTED_AT)
        later = REPORTED_AT + LATE_STARTS_WAIT_SECONDS
        self.report(FORMER, SECOND_START_MS, later)
        self.assertEqual(self.plan(later), [])

    async def test_next_incarnation_has_no_room_beside_an_absent_run(self) -> None:
        run = self.take_over()
        view = self.coordinator.state.workers[FORMER]
        self.assertTrue(run.is_absent)
        self.assertEqual(view.reserved, NO_RESOURCES)
        self.register(FORMER, THIRD_START_MS)
        self.assertEqual((run.is_absent, view.reserved), (False, CAPACITY))

    async def test_listed_run_is_not_absent(self) -> None:
        run = self.take_over()
        view = self.coordinator.state.workers[FORMER]
        listed = RunningTask(run.task, run.run, "", 0, 0)
        self.report(FORMER, SECOND_START_MS, REPORTED_AT + 0.1, listed)
        self.assertEqual((run.is_absent, view.reserved), (False, CAPACITY))
        job = self.coordinator.state.jobs[run.task.job]
        task = job.find_task(run.task)
        assert task is not None
        self.coordinator.state.release_run(job, task, NOW)
        self.assertEqual(view.reserved, NO_RESOURCES)

    async def test_capacity_of_an_ended_absent_run_is_released_once(self) -> None:
        run = self.take_over()
        view = self.coordinator.state.workers[FORMER]
        now = NOW + OPTIONS.late_order_window + RESTART_SECONDS
        self.report(FORMER, SECOND_START_MS, now)
        self.assertNotIn((run.task, run.run), view.runs)
        self.assertEqual((view.reserved, view.free), (NO_RESOURCES, CAPACITY))
