"""Jobs that fail wherever they run, beside jobs that do not.

The tests guard against failures of a job that are put down to the workers, so that
other jobs wait although the workers have room.
"""

import unittest
from asyncio import sleep
from dataclasses import replace

from jujubebarrow.coordinators.active_runs import RunStage
from jujubebarrow.coordinators.reconcilers import LASTING_SUCCESS_SECONDS
from jujubebarrow.coordinators.worker_views import WorkerView
from jujubebarrow.placements.pause_limits import find_needed_workers
from jujubebarrow.placements.run_evidence import RunEvidence
from jujubebarrow.placements.worker_scores import (
    FAILED_JOBS_COUNT,
    SHORTEST_PAUSE_SECONDS,
    WorkerScore,
)
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import JobCluster
from jujubebarrow.tests.test_planning_work import make_record
from jujubebarrow.tests.test_restarted_workers import (
    FIRST_START_MS,
    NOW,
    OTHER_WORKER,
    WORKER,
    WorkerOrderCase,
)
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

SMALL = Resources(500, 500)
LASTING = StepSpec(count=5, needs=SMALL, long_running=True, most_per_worker=1)
FINITE = StepSpec(count=3, needs=SMALL)
FAILING = TaskBehaviour(seconds=0.3, is_failing=True)
LATEST_SECONDS = 4.0
"""Longest time that a job of 0.5 s may take beside failing ones; a first pause of all
workers that the failing jobs can share takes 2 s."""
ROUNDS_COUNT = 30
WORKERS_COUNT = 6
WORKERS = [WorkerId(f"w{number}") for number in range(WORKERS_COUNT)]


class FailingJobTest(JobCase):
    async def assert_others_in_time(
        self, cluster: JobCluster, failing_count: int = 0
    ) -> None:
        """Check that short jobs complete in time, one each 0.4 s.

        Args:
            cluster: Running cluster.
            failing_count: Number of failing short jobs that are submitted with each.
        """
        jobs = []
        for number in range(ROUNDS_COUNT):
            jobs.append(await cluster.submit(1000 + number, (FINITE,)))
            for other in range(failing_count):
                name = 2000 + failing_count * number + other
                await cluster.submit(name, (FINITE,), behaviour=FAILING)
            await sleep(0.4)
        await sleep(LATEST_SECONDS)
        phases = [await cluster.read_phase(job) for job in jobs]
        self.assertEqual(phases, ["completed"] * ROUNDS_COUNT)

    def test_lasting_jobs_that_always_fail_keep_no_others_from_starting(self) -> None:
        """Guards against lasting jobs that fail everywhere and pause all workers."""

        async def scenario(cluster: JobCluster) -> None:
            await sleep(3.0)
            lasting = TaskBehaviour(is_long_running=True)
            await cluster.submit(1, (LASTING,), behaviour=lasting)
            for number in (2, 3):
                await cluster.submit(number, (LASTING,), behaviour=FAILING)
            await self.assert_others_in_time(cluster)

        self.run_scenario(scenario, workers=WORKERS_COUNT)

    def test_finite_jobs_that_always_fail_keep_no_others_from_starting(self) -> None:
        """Guards against short jobs that fail everywhere and pause all workers."""

        async def scenario(cluster: JobCluster) -> None:
            await sleep(3.0)
            await self.assert_others_in_time(cluster, failing_count=2)

        self.run_scenario(scenario, workers=WORKERS_COUNT)


class RunEvidenceTest(unittest.TestCase):
    def test_work_that_fails_on_each_worker_speaks_against_few(self) -> None:
        evidence = RunEvidence()
        blamed = [evidence.record_failure(0, worker) for worker in WORKERS]
        self.assertEqual(blamed, [True, True, False, False, False, False])
        self.assertEqual(sum(evidence.record_failure(0, w) for w in WORKERS), 0)

    def test_failure_of_work_that_succeeds_elsewhere_speaks_against_the_worker(
        self,
    ) -> None:
        evidence = RunEvidence()
        evidence.record_success(1)
        self.assertTrue(all(evidence.record_failure(0, w) for w in WORKERS[:2]))
        evidence.record_success(0)
        self.assertTrue(all(evidence.record_failure(0, w) for w in WORKERS))

    def test_task_that_fails_on_each_worker_beside_others_speaks_against_few(
        self,
    ) -> None:
        evidence = RunEvidence()
        evidence.record_success(1)
        blamed = [evidence.record_failure(0, worker) for worker in WORKERS]
        self.assertEqual(sum(blamed), 2)

    def test_worker_on_which_all_jobs_fail_is_paused(self) -> None:
        """Guards against a faulty worker that goes on to get tasks."""
        score = WorkerScore()
        for number in range(2):
            evidence = RunEvidence()
            evidence.record_success(1)
            record = make_record(number, 1)
            if evidence.record_failure(0, WORKERS[0]):
                score.record_run(record.job, False, NOW)
        self.assertTrue(score.is_paused(NOW))


class PauseLimitTest(unittest.TestCase):
    def make_workers(
        self, count: int, labels: tuple[str, ...] = (), cores: int = 8
    ) -> list[WorkerView]:
        workers = []
        for number in range(count):
            name = WorkerId(f"{''.join(labels)}{cores}-{number}")
            worker = WorkerView(name, 0.0, FenceToken(1))
            worker.entry = WorkerEntry(
                worker=name,
                started_at_ms=0,
                pool="p",  # type: ignore[arg-type]
                address="a",
                zone="z",  # type: ignore[arg-type]
                state=WorkerState.READY,
                capacity=Resources(1000 * cores, 16000),
                labels=labels,
            )
            workers.append(worker)
        return workers

    def test_pause_takes_at_most_half_of_the_workers(self) -> None:
        workers = self.make_workers(6)
        self.assertEqual(
            find_needed_workers(workers[3:], workers[:3], [FINITE], NOW), []
        )
        needed = find_needed_workers(workers[4:], workers[:4], [FINITE], NOW)
        self.assertEqual(needed, workers[:4])

    def test_first_part_of_a_pause_is_kept(self) -> None:
        """Guards against starts without a break to workers that refuse them all."""
        workers = self.make_workers(3)
        for worker in workers:
            for number in range(FAILED_JOBS_COUNT):
                worker.score.record_run(make_record(number, 1).job, False, NOW)
        self.assertEqual(find_needed_workers([], workers, [FINITE], NOW), [])
        later = NOW + SHORTEST_PAUSE_SECONDS
        self.assertTrue(all(worker.score.is_paused(later) for worker in workers))
        self.assertEqual(find_needed_workers([], workers, [FINITE], later), workers)

    def test_pause_takes_not_all_workers_with_a_label(self) -> None:
        labelled = self.make_workers(2, ("b",))
        others = self.make_workers(8)
        self.assertEqual(find_needed_workers(others, labelled, [FINITE], NOW), [])
        step = replace(FINITE, label="b")
        self.assertEqual(find_needed_workers(others, labelled, [step], NOW), labelled)

    def test_pause_takes_not_all_workers_that_are_large_enough(self) -> None:
        large = self.make_workers(2, cores=32)
        small = self.make_workers(8)
        step = replace(FINITE, needs=Resources(20000, 500))
        self.assertEqual(find_needed_workers(small, large, [FINITE, step], NOW), large)

    def test_pause_leaves_room_for_a_gang(self) -> None:
        workers = self.make_workers(6)
        gang = StepSpec(count=5, needs=SMALL, gang=True, most_per_worker=1)
        needed = find_needed_workers(workers[2:], workers[:2], [gang], NOW)
        self.assertEqual(needed, workers[:2])
        gang = replace(gang, count=4)
        self.assertEqual(find_needed_workers(workers[2:], workers[:2], [gang], NOW), [])


class LastingEvidenceTest(WorkerOrderCase):
    def fail_lasting_tasks(self, seconds_at_work: float) -> bool:
        """Let a task of two jobs fail on a worker; return whether it is paused."""
        self.register_other_worker()
        view = self.coordinator.state.workers[WORKER]
        self.coordinator.state.workers[OTHER_WORKER].is_cordoned = True
        for number in range(2):
            step = StepSpec(needs=SMALL, long_running=True)
            record = replace(make_record(number, 1), steps=(step,))
            self.coordinator.add_job(record, None, NOW)
            (run,) = self.coordinator.plan(NOW, NOW)
            run.stage = RunStage.RECORDED
            order = self.coordinator.orders.make_start(run, NOW)
            assert order is not None
            run.is_start_sent = True
            running = (RunningTask(run.task, run.run, "", 100, 0),)
            for now in (NOW, NOW + seconds_at_work):
                report = RenewalReport(FIRST_START_MS, 50.0 + now - NOW, running, ())
                self.coordinator.handle_renewal_report(view, report, now, now)
            ended = FinishedRun(number + 1, run.task, run.run, RunOutcome.FAILED, "")
            report = RenewalReport(FIRST_START_MS, 60.0, (), (ended,))
            now = NOW + seconds_at_work
            self.coordinator.handle_renewal_report(view, report, now, now)
            view.mark_recorded(number + 1)
            self.coordinator.cancel_job(record.job)
        return view.score.is_paused(NOW + seconds_at_work)

    async def test_lasting_tasks_that_never_work_speak_against_the_worker(self) -> None:
        self.assertTrue(self.fail_lasting_tasks(LASTING_SUCCESS_SECONDS - 1.0))

    async def test_lasting_tasks_that_were_at_work_do_not(self) -> None:
        """Guards against failures that count while the success before does not."""
        self.assertFalse(self.fail_lasting_tasks(LASTING_SUCCESS_SECONDS + 0.1))
