"""Capacity and step limits of workers that may execute unacknowledged starts late.

The tests guard against a restarted worker that executes more starts than it has
capacity for, or more tasks of a step than the step permits, before its owner knows it.
"""

from asyncio import get_running_loop
from dataclasses import replace
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from msgspec import json

from jujubebarrow.coordinators.active_runs import ActiveRun, RunStage
from jujubebarrow.coordinators.coordinator_options import DEFAULT_ROW_BYTES
from jujubebarrow.coordinators.late_start_records import (
    LateStartRecord,
    decode_late_starts,
    encode_late_starts,
)
from jujubebarrow.coordinators.order_results import OrderOutcome, OrderResult
from jujubebarrow.coordinators.orders import StartOrder
from jujubebarrow.coordinators.planners import LATE_STARTS_WAIT_SECONDS
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.coordinators.worker_views import WorkerView
from jujubebarrow.identifiers import JobId, ZoneId
from jujubebarrow.placements.worker_scores import WorkerScore
from jujubebarrow.stores.store_clocks import StoreClock
from jujubebarrow.tests.fakes.fake_documents import ListLog
from jujubebarrow.tests.fakes.job_clusters import POOL
from jujubebarrow.tests.fakes.virtual_loops import LoopClock
from jujubebarrow.tests.test_planning_work import make_record
from jujubebarrow.tests.test_restarted_workers import NOW, OPTIONS, WORKER
from jujubebarrow.workloads.finished_runs import FinishedRun, RunOutcome
from jujubebarrow.workloads.identifiers import FenceToken, WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec
from jujubebarrow.workloads.worker_reports import (
    RenewalReport,
    RunningTask,
    WorkerEntry,
    WorkerState,
)

CAPACITY = Resources(8000, 16000)
STARTED_AT_MS = 1_000
RESTARTED_AT_MS = 60_000
WINDOW_SECONDS = OPTIONS.late_order_window
LARGE = StepSpec(needs=Resources(6000, 4000), estimate=1.0)
SMALL = StepSpec(needs=Resources(2000, 4000), estimate=1.0)
SINGLE = StepSpec(needs=Resources(500, 500), estimate=1.0, most_per_worker=1, count=2)


class LateStartTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.log = ListLog()
        self.coordinator = PoolCoordinator(POOL, FenceToken(7), OPTIONS, 0.0, self.log)
        self.job_count = 0
        self.register(STARTED_AT_MS)
        self.report()

    def register(self, born: int) -> None:
        entry = WorkerEntry(
            worker=WORKER,
            started_at_ms=born,
            pool=POOL,
            address="address",
            zone=ZoneId("z"),
            state=WorkerState.READY,
            capacity=CAPACITY,
        )
        self.coordinator.handle_registration(entry, NOW)

    def take_over(self, token: FenceToken, now: float) -> None:
        """Let another owner load the stored jobs; late starts are not on record."""
        jobs = [
            (job.record, job.to_document())
            for job in self.coordinator.state.jobs.values()
        ]
        self.coordinator = PoolCoordinator(POOL, token, OPTIONS, now, self.log)
        for record, document in jobs:
            self.coordinator.add_job(record, document, now)

    @property
    def worker(self) -> WorkerView:
        return self.coordinator.state.workers[WORKER]

    def report(
        self,
        running: tuple[RunningTask, ...] = (),
        ended: tuple[FinishedRun, ...] = (),
        now: float = NOW,
        born: int = STARTED_AT_MS,
    ) -> None:
        report = RenewalReport(born, now, running, ended)
        self.coordinator.handle_renewal_report(self.worker, report, now, now)

    def plan(self, step: StepSpec | None = None, now: float = NOW) -> list[ActiveRun]:
        """Return the runs that are planned, after the submission of a step if any."""
        if step is not None:
            self.job_count += 1
            record = replace(make_record(self.job_count, 1), steps=(step,))
            self.coordinator.add_job(record, None, now)
        runs = self.coordinator.plan(now, now)
        for run in runs:
            run.stage = RunStage.RECORDED
        return runs

    def send(self, run: ActiveRun, now: float = NOW) -> StartOrder:
        order = self.coordinator.orders.make_start(run, now)
        assert order is not None
        run.is_start_sent = True
        return order

    def answer(
        self, run: ActiveRun, order: StartOrder, outcome: OrderOutcome, now: float = NOW
    ) -> None:
        result = OrderResult(outcome, now)
        self.coordinator.orders.handle_start_result(run, order, result, now, now)

    def end_run(self, run: ActiveRun, number: int = 1, now: float = NOW) -> None:
        ended = FinishedRun(number, run.task, run.run, RunOutcome.DONE, "")
        self.report(ended=(ended,), now=now)

    def run_with_unacknowledged_start(self, step: StepSpec) -> ActiveRun:
        """Let a task of a step end that was started by the second of two orders."""
        [run] = self.plan(step)
        self.answer(run, self.send(run), OrderOutcome.UNACKNOWLEDGED)
        self.answer(run, self.send(run), OrderOutcome.ACCEPTED)
        self.end_run(run)
        return run

    async def test_unacknowledged_start_of_an_ended_run_keeps_its_capacity(
        self,
    ) -> None:
        self.run_with_unacknowledged_start(LARGE)
        self.assertEqual(self.plan(LARGE), [])
        self.assertEqual(len(self.plan(SMALL)), 1)

    async def test_capacity_is_free_when_the_start_can_no_longer_be_executed(
        self,
    ) -> None:
        self.run_with_unacknowledged_start(LARGE)
        self.assertEqual(self.plan(LARGE, NOW + WINDOW_SECONDS - 0.1), [])
        self.assertEqual(len(self.plan(now=NOW + WINDOW_SECONDS + 0.1)), 1)

    async def test_acknowledged_runs_need_no_capacity_for_a_late_start(self) -> None:
        self.run_with_unacknowledged_start(SMALL)
        for _ in range(4):
            [run] = self.plan(SMALL)
            self.answer(run, self.send(run), OrderOutcome.ACCEPTED)
        self.assertEqual(self.worker.late_starts_reserved, SMALL.needs)

    async def test_start_without_a_result_counts_after_the_end_of_its_run(
        self,
    ) -> None:
        [run] = self.plan(LARGE)
        order = self.send(run)
        self.report(running=(RunningTask(run.task, run.run, "", 50, 0),))
        self.end_run(run)
        self.assertEqual(self.plan(LARGE), [])
        self.answer(run, order, OrderOutcome.ACCEPTED)
        self.assertEqual(len(self.plan()), 1)

    async def test_start_that_was_not_relayed_keeps_no_capacity(self) -> None:
        [run] = self.plan(LARGE)
        self.send(run)
        self.coordinator.orders.handle_unsent_start(run, NOW)
        self.answer(run, self.send(run), OrderOutcome.ACCEPTED)
        self.assertEqual(self.worker.late_starts_reserved, Resources())

    async def test_unacknowledged_start_counts_against_the_limit_of_its_step(
        self,
    ) -> None:
        [run] = self.plan(SINGLE)
        self.answer(run, self.send(run), OrderOutcome.UNACKNOWLEDGED)
        self.answer(run, self.send(run), OrderOutcome.ACCEPTED)
        self.end_run(run)
        self.assertEqual(self.plan(), [])
        self.assertEqual(len(self.plan(now=NOW + WINDOW_SECONDS + 0.1)), 1)

    async def test_gang_waits_for_unacknowledged_starts_of_its_limited_step(
        self,
    ) -> None:
        gang = replace(SINGLE, gang=True, count=1, most_per_worker=1)
        [run] = self.plan(gang)
        self.answer(run, self.send(run), OrderOutcome.UNACKNOWLEDGED)
        self.answer(run, self.send(run), OrderOutcome.ACCEPTED)
        stopped = FinishedRun(1, run.task, run.run, RunOutcome.STOPPED, "")
        self.report(ended=(stopped,))
        self.assertEqual(self.plan(), [])
        self.assertEqual(len(self.plan(now=NOW + WINDOW_SECONDS + 0.1)), 1)

    async def test_long_running_task_waits_only_some_time_for_late_starts(
        self,
    ) -> None:
        self.run_with_unacknowledged_start(LARGE)
        lasting = replace(LARGE, long_running=True)
        self.assertEqual(self.plan(lasting), [])
        self.assertEqual(len(self.plan(now=NOW + LATE_STARTS_WAIT_SECONDS + 0.1)), 1)

    async def test_long_running_task_preempts_nothing_for_capacity_of_late_starts(
        self,
    ) -> None:
        self.run_with_unacknowledged_start(LARGE)
        [victim] = self.plan(SMALL)
        self.answer(victim, self.send(victim), OrderOutcome.ACCEPTED)
        self.plan(replace(LARGE, long_running=True))
        self.assertIs(victim.stage, RunStage.CONFIRMED)

    async def test_long_running_task_preempts_in_spite_of_late_starts_after_a_wait(
        self,
    ) -> None:
        self.run_with_unacknowledged_start(LARGE)
        for _ in range(4):
            [run] = self.plan(SMALL)
            self.answer(run, self.send(run), OrderOutcome.ACCEPTED)
        self.plan(replace(LARGE, long_running=True))
        stages = [each.stage for each in self.worker.runs.values()]
        self.assertNotIn(RunStage.STOPPING, stages)
        self.plan(now=NOW + LATE_STARTS_WAIT_SECONDS + 0.1)
        stages = [each.stage for each in self.worker.runs.values()]
        self.assertEqual(stages.count(RunStage.STOPPING), 3)

    async def test_long_running_task_starts_on_a_paused_worker_after_a_wait(
        self,
    ) -> None:
        self.run_with_unacknowledged_start(LARGE)
        with patch.object(WorkerScore, "is_paused", return_value=True):
            self.assertEqual(self.plan(replace(LARGE, long_running=True)), [])
            later = NOW + LATE_STARTS_WAIT_SECONDS + 0.1
            self.assertEqual(len(self.plan(now=later)), 1)

    async def test_successor_keeps_capacity_for_starts_of_the_former_owner(
        self,
    ) -> None:
        run = self.run_with_unacknowledged_start(LARGE)
        [record] = self.coordinator.state.make_late_start_records(NOW).values()
        self.assertEqual(record.reserved, run.reserved)
        self.coordinator = PoolCoordinator(POOL, FenceToken(8), OPTIONS, NOW, self.log)
        self.coordinator.state.set_former_owners_starts({WORKER: record})
        self.register(STARTED_AT_MS)
        self.report()
        self.assertEqual(self.plan(LARGE), [])
        [again] = self.coordinator.state.make_late_start_records(NOW).values()
        self.assertTrue(again.covers(record))
        self.assertEqual(len(self.plan(now=NOW + WINDOW_SECONDS + 0.1)), 1)

    async def test_successor_keeps_capacity_for_a_run_that_its_worker_does_not_list(
        self,
    ) -> None:
        # The start of another task of the pool is sent again instead.
        entry = self.worker.entry
        assert entry is not None
        [run] = self.plan(replace(LARGE, gang=True))
        self.send(run)
        job = self.coordinator.state.jobs[run.task.job]
        document = job.to_document()
        self.coordinator = PoolCoordinator(POOL, FenceToken(8), OPTIONS, NOW, self.log)
        self.coordinator.add_job(job.record, document, NOW)
        self.coordinator.handle_registration(entry, NOW)
        self.report()
        self.assertEqual(self.worker.unreserved, CAPACITY)
        self.assertEqual(self.worker.late_starts_reserved, LARGE.needs)
        self.assertEqual(self.plan(), [])
        self.assertEqual(len(self.plan(now=NOW + WINDOW_SECONDS + 0.1)), 1)

    async def test_late_starts_beyond_the_capacity_hide_no_free_capacity(
        self,
    ) -> None:
        record = LateStartRecord(NOW + 5.0, CAPACITY.times(3))
        self.coordinator.state.set_former_owners_starts({WORKER: record})
        entry = self.worker.entry
        assert entry is not None
        other = replace(entry, worker=WorkerId("w1"))
        self.coordinator.handle_registration(other, NOW)
        report = RenewalReport(STARTED_AT_MS, NOW, (), ())
        view = self.coordinator.state.workers[WorkerId("w1")]
        self.coordinator.handle_renewal_report(view, report, NOW, NOW)
        grants = self.coordinator.state.grants
        team = make_record(0, 1).team
        grants.set_limits({team: CAPACITY})
        self.assertEqual(self.plan(SMALL), [])
        self.assertEqual(len(grants.requests(team)), 1)

    async def test_later_owners_wait_for_a_start_that_a_restarted_worker_may_execute(
        self,
    ) -> None:
        # A former owner's start is executed beside a new run, if only the owner that
        # met the restart knows that the task has to wait.
        [run] = self.plan(SMALL)
        self.answer(run, self.send(run), OrderOutcome.UNACKNOWLEDGED)
        for token in (8, 9):
            self.take_over(FenceToken(token), NOW + 1.0)
            self.register(RESTARTED_AT_MS)
            self.report(now=NOW + 1.0, born=RESTARTED_AT_MS)
            self.assertEqual(self.plan(now=NOW + 1.0), [])
        end = NOW + 1.0 + WINDOW_SECONDS
        self.report(now=end - 0.1, born=RESTARTED_AT_MS)
        self.assertEqual(self.plan(now=end - 0.1), [])
        self.report(now=end, born=RESTARTED_AT_MS)
        [following] = self.plan(now=end)
        self.assertEqual((following.task, following.run), (run.task, run.run + 1))

    async def test_start_in_flight_at_the_death_of_its_owner_is_sent_again(
        self,
    ) -> None:
        # A run on another worker would execute beside the former owner's start, if the
        # first worker restarts before that start arrives.
        [run] = self.plan(SMALL)
        self.send(run)
        self.take_over(FenceToken(8), NOW + 1.0)
        self.register(STARTED_AT_MS)
        self.report(now=NOW + 1.0)
        self.assertEqual(self.plan(now=NOW + 1.0), [])
        [again] = self.coordinator.orders.pop_starts()
        self.assertEqual((again.task, again.run), (run.task, run.run))
        order = self.send(again, NOW + 1.0)
        self.assertGreater(order.token, FenceToken(7))
        self.answer(again, order, OrderOutcome.ACCEPTED, NOW + 1.0)
        self.end_run(again, now=NOW + 2.0)
        renewal = self.coordinator.make_renewal(self.worker, 0.0, NOW + 3.0)
        self.assertEqual(renewal.acknowledged, 0)
        self.assertGreater(self.worker.late_starts_end, NOW + WINDOW_SECONDS)

    async def test_gang_of_a_killed_owner_is_planned_anew(self) -> None:
        # The other tasks may have ended alone before a single one started again, and
        # the worker's next incarnation executes the former owner's starts.
        self.plan(replace(SMALL, gang=True, count=2))
        self.take_over(FenceToken(8), NOW + 1.0)
        self.register(STARTED_AT_MS)
        self.report(now=NOW + 1.0)
        self.assertEqual(self.coordinator.orders.pop_starts(), [])
        end = self.coordinator.state.former_starts_end
        self.assertEqual(self.plan(now=end - 0.1), [])
        self.assertEqual(len(self.plan(now=end)), 2)

    async def test_overloaded_worker_is_logged_with_its_late_starts(self) -> None:
        run = self.run_with_unacknowledged_start(LARGE)
        [other] = self.plan(SMALL)
        self.answer(other, self.send(other), OrderOutcome.ACCEPTED)
        more = replace(SMALL, needs=Resources(1000, 15000))
        self.assertEqual(self.plan(more), [])
        stray = run.task._replace(job=JobId(f"{self.job_count:016x}"))
        running = tuple(
            RunningTask(task, other.run, "", 10, 0) for task in (other.task, stray)
        )
        self.report(running=running)
        self.report(running=running)
        [line] = [
            each for each in self.log.lines if each["event"] == "worker_overloaded"
        ]
        self.assertEqual(line["strays"], 1)
        self.assertEqual(line["late_starts"], LARGE.needs)


class LateStartRecordTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = StoreClock(LoopClock(get_running_loop()))

    async def test_record_is_restored(self) -> None:
        record = LateStartRecord(5.0, Resources(1, 2, 3), {(JobId("j"), 0, 1): 2})
        document = encode_late_starts({WORKER: record}, self.clock, 1000)
        self.assertEqual(decode_late_starts(document, self.clock), {WORKER: record})

    async def test_record_of_an_earlier_build_has_an_end_only(self) -> None:
        [record] = decode_late_starts({WORKER: 5.0}, self.clock).values()
        self.assertEqual(record, LateStartRecord(5.0))

    async def test_records_of_many_workers_fit_in_a_row(self) -> None:
        record = LateStartRecord(
            1e9 + 0.123,
            CAPACITY,
            {(JobId(f"{number:016x}"), 0, 1): 1 for number in range(8)},
        )
        for count in (100, 300, 600, 900):
            records = {WorkerId(f"worker-{index:04}"): record for index in range(count)}
            document = encode_late_starts(records, self.clock, DEFAULT_ROW_BYTES)
            self.assertLessEqual(len(json.encode(document)), DEFAULT_ROW_BYTES)
            decoded = decode_late_starts(document, self.clock)
            self.assertEqual({each.end for each in decoded.values()}, {record.end})
            self.assertEqual(decoded.keys(), records.keys())

    async def test_record_without_room_for_its_steps_keeps_its_resources(self) -> None:
        record = LateStartRecord(5.0, CAPACITY, {(JobId("j"), 0, 1): 2})
        document = encode_late_starts({WORKER: record}, self.clock, 30)
        [decoded] = decode_late_starts(document, self.clock).values()
        self.assertEqual(decoded, LateStartRecord(5.0, CAPACITY))

    async def test_record_with_more_runs_of_a_step_is_not_covered(self) -> None:
        step = (JobId("j"), 0, 1)
        smaller = LateStartRecord(5.0, Resources(1), {step: 1})
        larger = LateStartRecord(5.0, Resources(1), {step: 2})
        self.assertTrue(larger.covers(smaller))
        self.assertFalse(smaller.covers(larger))
        self.assertFalse(smaller.covers(replace(smaller, reserved=Resources(2))))
        self.assertFalse(smaller.covers(replace(smaller, end=6.0)))
