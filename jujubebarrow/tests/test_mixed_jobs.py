"""Jobs that have finite steps and steps that last until the job is cancelled.

The tests guard against decisions about a finite task that go by another step of the
job.
"""

from asyncio import sleep
from typing import Any

from jujubebarrow.identifiers import JobId
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import ROUTE, JobCluster
from jujubebarrow.workloads.identifiers import WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

SMALL = Resources(1000, 500)
FINITE = StepSpec(count=2, needs=SMALL, estimate=0.5)
LASTING = StepSpec(count=2, needs=SMALL, long_running=True)
LASTING_AFTER_FINITE = StepSpec(count=2, needs=SMALL, long_running=True, after=(0,))
SECOND_STEP_LASTS = (1,)
DRAIN_SECONDS = 10.0


def list_step_runs(cluster: JobCluster, job: JobId, step: int) -> list[Any]:
    return [
        run
        for run in cluster.list_runs()
        if run.task.job == job and run.task.step == step
    ]


def count_active(runs: list[Any]) -> int:
    return sum(run.ended_at is None for run in runs)


class MixedJobTest(JobCase):
    def test_finite_tasks_run_once_before_a_lasting_step(self) -> None:
        """Guards against repeated runs of done tasks and a later step that waits."""

        async def scenario(cluster: JobCluster) -> None:
            behaviour = TaskBehaviour(long_running_steps=SECOND_STEP_LASTS)
            steps = (FINITE, LASTING_AFTER_FINITE)
            job = await cluster.submit(1, steps, behaviour=behaviour)
            await sleep(3.0)
            owner = cluster.find_owner()
            assert owner is not None
            await owner.kill()
            await sleep(7.0)
            self.assertEqual(len(list_step_runs(cluster, job, 0)), 2)
            self.assertEqual(count_active(list_step_runs(cluster, job, 1)), 2)
            self.assertEqual(
                await cluster.read_phase(job, self.find_up(cluster)), "running"
            )

        self.run_scenario(scenario)

    def find_up(self, cluster: JobCluster) -> int:
        return next(
            number
            for number, instance in enumerate(cluster.instances)
            if instance.node is not None
        )

    def test_finite_task_of_a_lasting_job_uses_up_its_attempts(self) -> None:
        """Guards against starts of a failing task without end."""

        async def scenario(cluster: JobCluster) -> None:
            behaviour = TaskBehaviour(
                is_failing=True, long_running_steps=SECOND_STEP_LASTS
            )
            step = StepSpec(needs=SMALL, estimate=0.5)
            job = await cluster.submit(1, (step, LASTING), behaviour=behaviour)
            self.assertTrue(await cluster.wait_for_phase(job, "failed", 20.0))
            await sleep(3.0)
            self.assertEqual(len(list_step_runs(cluster, job, 0)), ROUTE.attempts)
            self.assertEqual(count_active(list_step_runs(cluster, job, 1)), 0)

        self.run_scenario(scenario)

    def test_lasting_task_of_a_mixed_job_has_no_limit_of_attempts(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            behaviour = TaskBehaviour(is_failing=True, long_running_steps=(0,))
            steps = (FINITE, StepSpec(needs=SMALL, long_running=True))
            job = await cluster.submit(1, steps, behaviour=behaviour)
            await sleep(20.0)
            starts = len(list_step_runs(cluster, job, 1))
            self.assertGreater(starts, 2 * ROUTE.attempts)
            self.assertEqual(await cluster.read_phase(job), "running")

        self.run_scenario(scenario)

    def test_stalled_finite_task_of_a_lasting_job_runs_elsewhere(self) -> None:
        """Guards against a finite task that hangs for as long as its job lasts."""

        async def scenario(cluster: JobCluster) -> None:
            stalled = cluster.workers[WorkerId("w0")]
            stalled.is_stalled = True
            behaviour = TaskBehaviour(long_running_steps=SECOND_STEP_LASTS)
            step = StepSpec(count=6, needs=SMALL, estimate=0.5)
            steps = (step, LASTING_AFTER_FINITE)
            job = await cluster.submit(1, steps, behaviour=behaviour)
            await sleep(10.0)
            self.assertEqual(count_active(list_step_runs(cluster, job, 1)), 2)

        self.run_scenario(scenario)

    def test_draining_worker_lets_finite_tasks_of_a_lasting_job_finish(self) -> None:
        """Guards against lost work when a worker reports that it drains."""

        async def scenario(cluster: JobCluster) -> None:
            behaviour = TaskBehaviour(seconds=4.0, long_running_steps=SECOND_STEP_LASTS)
            step = StepSpec(count=6, needs=SMALL, estimate=4.0)
            job = await cluster.submit(1, (step, LASTING), behaviour=behaviour)
            await sleep(1.0)
            for name in ("w0", "w1"):
                worker = cluster.workers[WorkerId(name)]
                worker.remaining_seconds = DRAIN_SECONDS
                cluster.set_draining(WorkerId(name))
            await sleep(6.0)
            self.assertEqual(len(list_step_runs(cluster, job, 0)), 6)
            self.assertEqual(count_active(list_step_runs(cluster, job, 1)), 2)

        self.run_scenario(scenario)

    def test_finite_tasks_of_a_lasting_job_make_room_for_lasting_tasks(self) -> None:
        """Guards against a lasting task that waits for finite ones."""

        async def scenario(cluster: JobCluster) -> None:
            behaviour = TaskBehaviour(
                seconds=60.0, long_running_steps=SECOND_STEP_LASTS
            )
            wide = StepSpec(count=24, needs=SMALL, estimate=60.0)
            steps = (wide, LASTING_AFTER_FINITE)
            await cluster.submit(1, steps, behaviour=behaviour)
            await sleep(1.0)
            forever = TaskBehaviour(is_long_running=True)
            job = await cluster.submit(2, (LASTING,), behaviour=forever)
            await sleep(3.0)
            self.assertEqual(count_active(list_step_runs(cluster, job, 0)), 2)

        self.run_scenario(scenario)
