"""Starts of a team of which a task that needs most of the upper limit waits or runs.

The tests guard against a team that exceeds its limit by more than one task, should such
a task be permitted to start beside others: what the platform's rules permit beyond the
limit is then used up, and a start of another pool breaks them.
"""

from asyncio import sleep

from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import JobCluster
from jujubebarrow.tests.fakes.limit_audits import LimitAudit
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

LIMIT = Resources(8500, 0)
LARGE = StepSpec(needs=Resources(8000, 500))
SMALL = StepSpec(needs=Resources(1000, 500))
LASTING = StepSpec(needs=Resources(3000, 500), long_running=True)
SMALL_LASTING = StepSpec(needs=Resources(1000, 500), long_running=True)
SMALL_JOB_COUNT = 16
SMALL_JOB_SPACING_SECONDS = 0.4
SMALL_SECONDS = 1.0
LARGE_SECONDS = 20.0
UNANSWERED_SECONDS = 0.8
LARGE_WAIT_SECONDS = 3.0
LATE_EXECUTION_SECONDS = 14.0
"""Time until the last late order has been executed."""


class LimitBesideLargeTaskTest(JobCase):
    async def _submit_large(self, cluster: JobCluster) -> None:
        await cluster.submit(
            1, (LARGE,), behaviour=TaskBehaviour(seconds=LARGE_SECONDS)
        )

    def test_successive_starts_of_another_pool_exceed_no_limit(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            cluster.write_fleet(2, LIMIT)
            await sleep(1.0)
            [route] = cluster.other_routes
            behaviour = TaskBehaviour(seconds=SMALL_SECONDS)
            for number in range(SMALL_JOB_COUNT):
                await cluster.submit(
                    number + 2, (SMALL,), behaviour=behaviour, route=route
                )
                if number == SMALL_JOB_COUNT // 4:
                    await self._submit_large(cluster)
                await sleep(SMALL_JOB_SPACING_SECONDS)
            await sleep(LARGE_SECONDS)
            self.assertEqual(LimitAudit(cluster, LIMIT).find_violations(), [])

        self.run_scenario(scenario, others=4, has_other_queue=True)

    def test_late_start_of_another_pool_exceeds_no_limit(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            cluster.write_fleet(2, LIMIT)
            await sleep(1.0)
            [route] = cluster.other_routes
            lasting = TaskBehaviour(is_long_running=True)
            await cluster.submit(2, (LASTING,), behaviour=lasting, route=route)
            await cluster.wait_for(cluster.list_runs, 5.0)
            others = [
                worker for worker in cluster.workers.values() if worker.worker[0] == "o"
            ]
            for worker in others:
                worker.late_order_probability = 1.0
            behaviour = TaskBehaviour(seconds=LATE_EXECUTION_SECONDS)
            job = await cluster.submit(3, (SMALL,), behaviour=behaviour, route=route)
            await self._submit_large(cluster)
            await sleep(UNANSWERED_SECONDS)
            for worker in others:
                worker.late_order_probability = 0.0
            await sleep(LATE_EXECUTION_SECONDS)
            late = [run for run in cluster.list_runs() if run.task.job == job]
            self.assertEqual(len(late), 1)
            self.assertEqual(LimitAudit(cluster, LIMIT).find_violations(), [])

        self.run_scenario(scenario, others=4, has_other_queue=True)

    def test_start_repeated_after_a_takeover_exceeds_no_limit(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            cluster.write_fleet(2, LIMIT)
            await sleep(1.0)
            [route] = cluster.other_routes
            lasting = TaskBehaviour(is_long_running=True)
            jobs = [
                await cluster.submit(number, (step,), behaviour=lasting, route=route)
                for number, step in ((2, LASTING), (3, SMALL_LASTING))
            ]
            await cluster.wait_for(lambda: len(cluster.list_runs()) == 2, 5.0)
            await self._submit_large(cluster)
            await sleep(LARGE_WAIT_SECONDS)
            owner = cluster.find_owner(route.pool)
            assert owner is not None
            await owner.kill()
            [run] = [run for run in cluster.list_runs() if run.task.job == jobs[1]]
            worker = cluster.workers[run.worker]
            worker.crash()
            worker.restart()
            cluster.register_worker(worker.worker)
            await sleep(LARGE_SECONDS)
            self.assertEqual(LimitAudit(cluster, LIMIT).find_violations(), [])

        self.run_scenario(scenario, others=4, has_other_queue=True)
