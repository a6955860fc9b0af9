"""Ends that stand for work which another worker may still start late.

The tests guard against a start of a task after the acknowledged end of another run, or
of another task of its gang, when the worker restarts that got the late start.
"""

from dataclasses import replace

from jujubebarrow.coordinators.active_runs import ActiveRun, RunStage
from jujubebarrow.coordinators.late_start_records import LateStartRecord
from jujubebarrow.coordinators.order_results import OrderOutcome
from jujubebarrow.coordinators.worker_views import WorkerView
from jujubebarrow.tests.test_planning_work import make_record
from jujubebarrow.tests.test_restarted_workers import (
    FIRST_START_MS,
    NOW,
    OPTIONS,
    OTHER_WORKER,
    SECOND_START_MS,
    WORKER,
    WorkerOrderCase,
)
from jujubebarrow.workloads.finished_runs import FinishedRun, RunOutcome
from jujubebarrow.workloads.identifiers import FenceToken, WorkerId
from jujubebarrow.workloads.resources import NO_RESOURCES
from jujubebarrow.workloads.step_specs import StepSpec
from jujubebarrow.workloads.worker_reports import RenewalReport, RunningTask

LATE_END = NOW + OPTIONS.late_order_window
GANG = StepSpec(count=2, estimate=1.0, gang=True, most_per_worker=1)


class HeldAcknowledgementTest(WorkerOrderCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.register_other_worker()
        self.runs: dict[WorkerId, ActiveRun] = {}

    @property
    def other(self) -> WorkerView:
        return self.coordinator.state.workers[OTHER_WORKER]

    def report_from(
        self,
        view: WorkerView,
        running: tuple[RunningTask, ...] = (),
        ended: tuple[FinishedRun, ...] = (),
        now: float = NOW,
        born: int = FIRST_START_MS,
        lists_all_ends: bool = True,
    ) -> None:
        report = RenewalReport(born, 50.0, running, ended, lists_all_ends)
        self.coordinator.handle_renewal_report(view, report, now, now)

    def start_gang(self, is_late: bool = True) -> None:
        """Start a gang; the first copy of the other worker's start may come late."""
        record = replace(make_record(0, 1), steps=(GANG,))
        self.coordinator.add_job(record, None, NOW)
        for run in self.coordinator.plan(NOW, NOW):
            run.stage = RunStage.RECORDED
            self.runs[run.worker] = run
            if run.worker == OTHER_WORKER and is_late:
                self.send(run, OrderOutcome.UNACKNOWLEDGED)
            self.send(run, OrderOutcome.ACCEPTED)

    def send(self, run: ActiveRun, outcome: OrderOutcome) -> None:
        order = self.coordinator.orders.make_start(run, NOW)
        assert order is not None
        run.is_start_sent = True
        self.finish(run, order, outcome)

    def end(self, outcome: RunOutcome = RunOutcome.DONE) -> FinishedRun:
        """Let the worker list the end of its run, which is stored at once."""
        run = self.runs[WORKER]
        ended = FinishedRun(1, run.task, run.run, outcome, "")
        self.report_from(self.worker, ended=(ended,))
        self.worker.mark_recorded(1)
        return ended

    def renew_lease(self, until: float) -> None:
        """Renew the worker's lease from time to time, without ends in the reports."""
        now = NOW
        while now < until:
            self.coordinator.make_renewal(self.worker, 0.0, now)
            self.report(FIRST_START_MS, now=now, clock=50.0 + now - NOW)
            now += 1.0

    def get_position(self, now: float) -> int:
        """Return the position that a renewal acknowledges after a plan."""
        self.coordinator.plan(now, now)
        return self.coordinator.make_renewal(self.worker, 0.0, now).acknowledged

    def restart_other(self, now: float, running: tuple[RunningTask, ...] = ()) -> None:
        """Let the other worker restart and report to its owner twice."""
        for _ in range(2):
            self.report_from(self.other, running=running, now=now, born=SECOND_START_MS)

    async def test_end_of_a_gang_is_not_acknowledged_beside_a_late_start(self) -> None:
        """Guards against a gang that is started again after its acknowledged end."""
        self.start_gang()
        self.end()
        self.assertEqual(self.get_position(NOW), 0)
        self.renew_lease(LATE_END)
        self.assertEqual(self.get_position(LATE_END - 0.1), 0)
        self.report_from(self.other, now=LATE_END + 0.1)
        self.assertEqual(self.get_position(LATE_END + 0.1), 1)

    async def test_end_without_late_starts_is_acknowledged_at_once(self) -> None:
        self.start_gang(is_late=False)
        self.end()
        self.assertEqual(self.get_position(NOW), 1)

    async def test_end_is_held_while_the_other_worker_is_silent(self) -> None:
        """Guards against silence that counts as proof that nothing was started."""
        self.start_gang()
        self.end()
        self.renew_lease(LATE_END + 1.0)
        self.assertEqual(self.get_position(LATE_END + 1.0), 0)
        self.assertTrue(self.other.needs_contact)

    async def test_end_is_acknowledged_after_a_restart_without_late_starts(
        self,
    ) -> None:
        self.start_gang()
        self.end()
        self.restart_other(NOW + 3.0)
        self.renew_lease(LATE_END)
        self.assertEqual(self.get_position(LATE_END - 0.1), 0)
        self.report_from(self.other, now=LATE_END + 0.1, born=SECOND_START_MS)
        self.assertEqual(self.get_position(LATE_END + 0.1), 1)

    async def test_end_is_held_until_the_lease_expires_after_a_late_start(self) -> None:
        """Guards against an end that is acknowledged after the work was repeated."""
        self.start_gang()
        self.end()
        run = self.runs[OTHER_WORKER]
        self.restart_other(NOW + 3.0, (RunningTask(run.task, run.run, "", 0, 0),))
        self.renew_lease(LATE_END)
        self.report_from(self.other, now=LATE_END + 0.1, born=SECOND_START_MS)
        self.assertEqual(self.get_position(LATE_END + 0.1), 0)
        expiry = self.worker.lease_end
        self.assertEqual(self.get_position(expiry + 0.1), 1)

    async def test_run_of_the_incarnation_that_started_the_gang_repeats_nothing(
        self,
    ) -> None:
        """Guards against ends of the gang itself that count as its repetition."""
        self.start_gang()
        self.end()
        run = self.runs[OTHER_WORKER]
        ended = FinishedRun(1, run.task, run.run, RunOutcome.STOPPED, "")
        self.report_from(self.other, ended=(ended,))
        self.renew_lease(LATE_END)
        self.report_from(self.other, now=LATE_END + 0.1)
        self.assertEqual(self.get_position(LATE_END + 0.1), 1)

    async def test_held_end_does_not_delay_renewals(self) -> None:
        """Guards against renewals that wait for an end as for one to be stored."""
        self.start_gang()
        self.end()
        self.assertEqual(self.get_position(NOW), 0)
        self.assertFalse(self.worker.has_unrecorded_finished_runs)
        self.assertFalse(self.worker.has_unconfirmed_acknowledgement)

    async def test_full_list_is_acknowledged_beside_a_late_start(self) -> None:
        """Guards against ends that stay hidden behind one that is held."""
        self.start_gang()
        self.end()
        self.report_from(self.worker, lists_all_ends=False)
        self.assertEqual(self.get_position(NOW), 1)

    async def test_hold_ends_with_the_incarnation_that_listed_the_end(self) -> None:
        """Guards against positions of a former incarnation that hold the next one."""
        self.start_gang()
        self.end()
        self.register(SECOND_START_MS)
        self.report(SECOND_START_MS)
        run = self.runs[WORKER]
        ended = FinishedRun(1, run.task, run.run, RunOutcome.STOPPED, "")
        self.report(SECOND_START_MS, ended=(ended,))
        self.assertEqual(self.get_position(NOW), 1)

    async def test_later_owner_holds_the_end_of_a_gang(self) -> None:
        """Guards against a takeover between the end and its acknowledgement."""
        self.start_gang()
        ended = self.end()
        [job] = self.coordinator.state.jobs.values()
        records = self.coordinator.state.make_late_start_records(NOW)
        self.assertIn(OTHER_WORKER, records)
        successor = self.make_coordinator(FenceToken(8))
        successor.add_job(job.record, job.to_document(), NOW)
        successor.state.set_former_owners_starts(records)
        self.coordinator = successor
        self.register(FIRST_START_MS)
        self.register_other_worker()
        self.report(FIRST_START_MS, ended=(ended,))
        self.worker.mark_recorded(1)
        self.assertEqual(self.get_position(NOW), 0)
        self.report_from(self.other, now=LATE_END + 0.1)
        self.assertEqual(self.get_position(LATE_END + 0.1), 1)

    async def test_task_of_an_ended_gang_is_not_started_again(self) -> None:
        """Guards against a repeated start after the end of another task of the gang."""
        record = replace(make_record(0, 1), steps=(GANG,))
        self.coordinator.add_job(record, None, NOW)
        for run in self.coordinator.plan(NOW, NOW):
            run.stage = RunStage.RECORDED
            self.runs[run.worker] = run
        self.send(self.runs[WORKER], OrderOutcome.ACCEPTED)
        self.send(self.runs[OTHER_WORKER], OrderOutcome.UNACKNOWLEDGED)
        self.end()
        self.assertIsNone(
            self.coordinator.orders.make_start(self.runs[OTHER_WORKER], NOW)
        )

    async def test_end_of_a_task_is_not_acknowledged_beside_its_late_start(
        self,
    ) -> None:
        """Guards against a late start of a former run on another worker."""
        [(run, order)] = self.start_tasks()
        self.finish(run, order, OrderOutcome.ACCEPTED)
        view = self.coordinator.state.workers[run.worker]
        late_worker = WORKER if view is self.other else OTHER_WORKER
        [job] = self.coordinator.state.jobs.values()
        task = job.find_task(run.task)
        assert task is not None
        task.record_late_start(late_worker, LATE_END)
        ended = FinishedRun(1, run.task, run.run, RunOutcome.DONE, "")
        self.report_from(view, ended=(ended,))
        view.mark_recorded(1)
        renewal = self.coordinator.make_renewal(view, 0.0, NOW)
        self.assertEqual(renewal.acknowledged, 0)
        late_view = self.coordinator.state.workers[late_worker]
        self.report_from(late_view, now=LATE_END + 0.1)
        self.coordinator.plan(LATE_END + 0.1, LATE_END + 0.1)
        renewal = self.coordinator.make_renewal(view, 0.0, LATE_END + 0.1)
        self.assertEqual(renewal.acknowledged, 1)

    async def test_unknown_starts_of_a_former_owner_hold_the_end_of_a_gang(
        self,
    ) -> None:
        """Guards against a record without steps that counts as one without starts."""
        self.start_gang(is_late=False)
        record = LateStartRecord(LATE_END, NO_RESOURCES, {}, are_steps_known=False)
        self.other.set_former_owners_starts(record)
        self.end()
        self.assertEqual(self.get_position(NOW), 0)

    async def test_start_without_a_result_holds_the_end_of_a_gang(self) -> None:
        """Guards against a start under way that counts as executed or lost."""
        self.start_gang(is_late=False)
        run = self.runs[OTHER_WORKER]
        self.other.record_start_sent(run)
        self.end()
        self.assertEqual(self.get_position(NOW), 0)
        self.other.record_start_result(run, NOW + 0.1)
        self.report_from(self.other, now=NOW + 0.2)
        self.assertEqual(self.get_position(NOW + 0.2), 1)
