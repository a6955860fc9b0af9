"""Machines that are moved after a start to their worker got no response.

The tests guard against a start that the machine's next worker executes in another pool.
"""

from asyncio import sleep

from jujubebarrow.runtimes.order_senders import LATE_START_SECONDS
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import OTHER_POOL, POOL, JobCluster
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

SETTLE_SECONDS = 4.0
POLL_SECONDS = 0.1
PEAK = StepSpec(count=120, needs=Resources(1000, 100), estimate=2.0)
TASK = StepSpec(count=6, needs=Resources(1000, 100), estimate=2.0)
SEEDS = range(1, 6)


class MovedWorkerTest(JobCase):
    def run_moves(self, seed: int, has_late_starts: bool) -> JobCluster:
        """Cancel a job with unacknowledged starts while another pool needs machines."""

        async def scenario(cluster: JobCluster) -> None:
            await cluster.wait_for(lambda: cluster.find_owner(OTHER_POOL), 10.0)
            await sleep(SETTLE_SECONDS)
            [route] = cluster.other_routes
            lenders = [
                worker
                for worker in cluster.workers.values()
                if worker.pool == OTHER_POOL
            ]
            for worker in lenders:
                worker.late_order_probability = 0.5 if has_late_starts else 0.0
            job = await cluster.submit(1, (TASK,), route=route)
            await sleep(1.0)
            for worker in lenders:
                worker.late_order_probability = 0.0
            await cluster.cancel(job, 0, route)
            behaviour = TaskBehaviour(seconds=2.0)
            await cluster.submit(2, (PEAK,), behaviour=behaviour)
            for _ in range(round((LATE_START_SECONDS + 2.0) / POLL_SECONDS)):
                await sleep(POLL_SECONDS)
                for worker in lenders:
                    # The new owner does not reach the workers that have moved.
                    worker.late_renewal_probability = float(worker.pool == POOL)

        return self.run_scenario(
            scenario, seed=seed, workers=2, others=4, has_other_queue=True
        )

    def count_moves(self, cluster: JobCluster) -> int:
        return sum(target == POOL for _, _, target in cluster.machines.moves)

    def test_late_starts_are_executed_in_no_other_pool(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cluster = self.run_moves(seed, has_late_starts=True)
                self.assertEqual(cluster.find_violations(), [])

    def test_machines_without_late_starts_are_moved(self) -> None:
        cluster = self.run_moves(1, has_late_starts=False)
        self.assertGreater(self.count_moves(cluster), 0)
