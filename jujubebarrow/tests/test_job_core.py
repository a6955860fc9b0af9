"""Tests of jobs and tasks, checked against the runs recorded by the workers."""

from asyncio import get_running_loop, sleep

from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import (
    CAPACITY,
    OTHER_ROUTE,
    TEAM,
    JobCluster,
)
from jujubebarrow.workloads.identifiers import WorkerId
from jujubebarrow.workloads.job_phases import JobPhase
from jujubebarrow.workloads.job_submissions import JobSubmission
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

STEP = StepSpec(count=2, needs=Resources(1000, 500))
LONG = StepSpec(count=3, needs=Resources(1000, 500), long_running=True)
LEASE_AND_RESTART_SECONDS = 8.0
"""Duration of the 6 s lease on a slow worker clock plus the restart of the tasks."""


class JobCoreTest(JobCase):
    def test_each_task_runs_once_in_the_order_of_the_steps(self) -> None:
        steps = (STEP, StepSpec(count=3, needs=Resources(1000, 500), after=(0,)))

        async def scenario(cluster: JobCluster) -> None:
            jobs = [await cluster.submit(n, steps, instance=n % 3) for n in range(10)]
            for job in jobs:
                self.assertTrue(await cluster.wait_for_phase(job, "completed", 20.0, 1))
            self.assertEqual(set(cluster.count_starts().values()), {1})
            ends = {run.task: run.ended_at for run in cluster.list_runs()}
            for run in cluster.list_runs():
                if run.task.step == 1:
                    for index in range(2):
                        earlier = run.task._replace(step=0, index=index)
                        self.assertGreaterEqual(run.started_at, ends[earlier])

        self.run_scenario(scenario)

    def test_lost_renewal_response_delays_no_job(self) -> None:
        """Guards against a late job when the response to a lease renewal is lost."""
        # The bound is the objective: 2.0 times the three 0.1 s steps plus 1.0 s.
        chain = tuple(
            StepSpec(
                count=1,
                needs=Resources(1000, 500),
                estimate=0.1,
                after=(number - 1,) if number else (),
            )
            for number in range(3)
        )

        async def scenario(cluster: JobCluster) -> None:
            owner = cluster.find_owner()
            assert owner is not None
            quick = TaskBehaviour(seconds=0.1)
            job = await cluster.submit(1, chain, behaviour=quick)
            owner.gateway.pending_renewal_loss_count = 1
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 1.6))

        self.run_scenario(scenario, workers=1)

    def test_repeated_submission_of_an_id_runs_one_job(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            job = await cluster.submit(1)
            for number in range(20):
                await cluster.submit(1, instance=number % 3)
                await sleep(0.1)
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 10.0))
            await cluster.submit(1, instance=2)
            await sleep(3.0)
            self.assertEqual(set(cluster.count_starts().values()), {1})

        self.run_scenario(scenario)

    def test_job_is_stored_though_the_owner_runs_its_id_of_another_queue(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            job = await cluster.submit(1)
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 10.0))
            later = JobSubmission(
                payload="later",
                steps=(STEP,),
                first_start=get_running_loop().time() + 1000.0,
                occurrences=1,
            )
            owner = cluster.find_owner()
            assert owner is not None and owner.node is not None
            await owner.node.intake.submit(OTHER_ROUTE, TEAM, job, later, 3.0)
            for instance in cluster.instances:
                assert instance.node is not None
                phase = await instance.node.intake.read_phase(OTHER_ROUTE, TEAM, job)
                self.assertIs(phase, JobPhase.QUEUED)

        self.run_scenario(scenario)

    def test_stalled_tasks_are_started_on_another_worker(self) -> None:
        """Guards against stalled tasks on a worker whose lease is still renewed."""

        async def scenario(cluster: JobCluster) -> None:
            cluster.workers[WorkerId("w0")].is_stalled = True
            step = StepSpec(count=2, needs=Resources(1000, 500), estimate=0.5)
            jobs = [await cluster.submit(number, (step,)) for number in range(5)]
            for job in jobs:
                self.assertTrue(await cluster.wait_for_phase(job, "completed", 6.0))

        self.run_scenario(scenario)

    def test_start_executed_by_a_restarted_worker_is_not_repeated(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            job = await cluster.submit(1)
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 10.0))
            worker = cluster.workers[WorkerId("w0")]
            worker.crash()
            worker.restart()
            slow = TaskBehaviour(seconds=4.0)
            job = await cluster.submit(2, behaviour=slow)
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 20.0))
            self.assertEqual(set(cluster.count_starts().values()), {1})

        self.run_scenario(scenario, workers=1)

    def test_unacknowledged_starts_are_not_moved_to_another_worker(self) -> None:
        """Guards against two runs of a task when a worker executes a start late."""

        async def scenario(cluster: JobCluster) -> None:
            for worker in cluster.workers.values():
                worker.late_order_probability = 0.3
                worker.response_loss_probability = 0.2
            jobs = [await cluster.submit(n) for n in range(12)]
            for job in jobs:
                self.assertTrue(await cluster.wait_for_phase(job, "completed", 60.0))
            await sleep(15.0)

        self.run_scenario(scenario)

    def test_restarted_worker_executes_no_late_start_of_a_moved_task(
        self,
    ) -> None:
        """Guards against two runs of a task after a worker restart.

        The worker crashes with delayed starts, the tasks move to other workers, and the
        restarted worker would execute the delayed starts.
        """
        for seed in range(1, 6):

            async def scenario(cluster: JobCluster) -> None:
                for worker in cluster.workers.values():
                    worker.late_order_probability = 0.5
                slow = TaskBehaviour(seconds=3.0)
                for number in range(6):
                    await cluster.submit(number, behaviour=slow)
                await sleep(1.5)
                victim = WorkerId("w0")
                cluster.workers[victim].crash()
                cluster.unregister_worker(victim)
                await sleep(1.0)
                cluster.workers[victim].restart()
                cluster.register_worker(victim)
                await sleep(30.0)

            self.run_scenario(scenario, seed=seed)

    def test_cancelled_job_is_stopped_and_reported_as_cancelled(self) -> None:
        """Cancels at eight moments after submission, before and after the starts."""
        for step in range(8):

            async def scenario(cluster: JobCluster, step: int = step) -> None:
                slow = TaskBehaviour(seconds=30.0)
                job = await cluster.submit(1, behaviour=slow)
                await sleep(0.012 * step)
                await cluster.cancel(job, instance=2)
                self.assertTrue(await cluster.wait_for_phase(job, "cancelled", 3.0, 1))
                await sleep(3.0)
                self.assertTrue(
                    all(run.ended_at is not None for run in cluster.list_runs())
                )

            self.run_scenario(scenario)

    def test_unknown_job_is_neither_read_nor_cancelled(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            node = cluster.instances[0].node
            assert node is not None
            for operation in (cluster.read_phase, cluster.cancel):
                with self.assertRaises(RefusalError) as caught:
                    await operation("0" * 16)
                self.assertEqual(caught.exception.kind, ErrorKind.NOT_FOUND)

        self.run_scenario(scenario)

    def test_job_fails_when_its_attempts_are_used_up(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            job = await cluster.submit(
                1, (StepSpec(count=1),), behaviour=TaskBehaviour(0.2, is_failing=True)
            )
            self.assertTrue(await cluster.wait_for_phase(job, "failed", 20.0))
            await sleep(3.0)
            self.assertEqual(len(cluster.list_runs()), 3)

        self.run_scenario(scenario)

    def test_long_running_tasks_are_restarted_after_a_crash(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            forever = TaskBehaviour(is_long_running=True)
            await cluster.submit(1, (LONG,), behaviour=forever)
            await sleep(2.0)
            victim = next(run.worker for run in cluster.list_runs())
            cluster.workers[victim].crash()
            cluster.unregister_worker(victim)
            await sleep(LEASE_AND_RESTART_SECONDS)
            active_runs = [run for run in cluster.list_runs() if run.ended_at is None]
            self.assertEqual(len(active_runs), 3)

        self.run_scenario(scenario)

    def test_long_running_tasks_preempt_others_in_a_full_pool(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            slow = TaskBehaviour(seconds=60.0)
            wide = StepSpec(count=24, needs=Resources(1000, 500))
            await cluster.submit(1, (wide,), behaviour=slow)
            await sleep(1.0)
            forever = TaskBehaviour(is_long_running=True)
            job = await cluster.submit(2, (LONG,), behaviour=forever)
            await sleep(3.0)
            active_runs = [
                run
                for run in cluster.list_runs()
                if run.task.job == job and run.ended_at is None
            ]
            self.assertEqual(len(active_runs), 3)

        self.run_scenario(scenario)

    def test_team_stays_within_its_upper_limit(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            cluster.write_fleet(2, Resources(5000, 0, 0))
            await sleep(1.0)
            for number in range(6):
                await cluster.submit(number, behaviour=TaskBehaviour(seconds=1.0))
            for _ in range(100):
                await sleep(0.1)
                active_runs = [
                    run for run in cluster.list_runs() if run.ended_at is None
                ]
                self.assertLessEqual(len(active_runs), 5)
            self.assertEqual(len(cluster.list_runs()), 12)

        self.run_scenario(scenario)

    def test_capacity_is_used_but_not_exceeded(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            for number in range(30):
                await cluster.submit(number, behaviour=TaskBehaviour(seconds=1.0))
            await sleep(8.0)
            self.assertEqual(len(cluster.list_runs()), 60)
            self.assertEqual(CAPACITY.cpu, 8000)

        self.run_scenario(scenario)
