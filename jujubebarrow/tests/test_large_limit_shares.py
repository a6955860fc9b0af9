"""Tasks that need a large part of their team's upper limit.

The tests guard against tasks of accepted jobs that never start although their team uses
less than half of its limit.
"""

from asyncio import sleep

from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import JobCluster
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

WAIT_LIMIT_SECONDS = 3.0
"""Seconds that a task may wait although less than half of its team's limit is used."""
LIMIT = Resources(4000, 0)
LASTING = TaskBehaviour(is_long_running=True)


class LargeLimitShareTest(JobCase):
    def check_start(self, lasting_cpu: int, cpu: int) -> None:
        """Submit a job beside a lasting task of the same team in another pool.

        Args:
            lasting_cpu: Needs of the lasting task in thousandths of a core; 0 for none.
            cpu: Needs of each of the job's tasks.
        """

        async def scenario(cluster: JobCluster) -> None:
            cluster.write_fleet(2, LIMIT)
            await sleep(1.0)
            if lasting_cpu:
                lasting = StepSpec(needs=Resources(lasting_cpu, 500), long_running=True)
                [route] = cluster.other_routes
                await cluster.submit(1, (lasting,), behaviour=LASTING, route=route)
                await cluster.wait_for(lambda: len(cluster.list_runs()) == 1, 10.0)
            step = StepSpec(count=3, needs=Resources(cpu, 500))
            job = await cluster.submit(2, (step,))
            self.assertTrue(
                await cluster.wait_for(
                    lambda: any(run.task.job == job for run in cluster.list_runs()),
                    WAIT_LIMIT_SECONDS,
                )
            )

        self.run_scenario(scenario, workers=3, others=4, has_other_queue=True)

    def test_task_larger_than_half_of_its_limit_starts_beside_a_lasting_one(
        self,
    ) -> None:
        self.check_start(1900, 2200)

    def test_task_larger_than_a_lowered_limit_starts(self) -> None:
        self.check_start(0, 4500)
