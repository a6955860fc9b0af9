"""Long-running tasks that wait although a worker has room for them."""

import unittest
from asyncio import get_running_loop, sleep
from random import Random

from jujubebarrow.runtimes.pool_owners import PoolOwner
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import POOL, JobCluster
from jujubebarrow.tests.fakes.long_running_faults import LongRunningFaults
from jujubebarrow.tests.fakes.virtual_loops import run_virtual
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

CI_SEEDS = (1, 27, 65, 68)
WORKER_COUNT = 6
NEEDS = Resources(1000, 500)
LONG_RUNNING = StepSpec(count=2, needs=NEEDS, long_running=True, most_per_worker=1)


def simulate(seed: int) -> tuple[list[str], list[str], JobCluster]:
    """Return the waits and violations, the injected faults, and the cluster."""

    async def main() -> tuple[list[str], list[str], JobCluster]:
        cluster = JobCluster(seed=seed, instances=3, workers=WORKER_COUNT)
        faults = LongRunningFaults(cluster, Random(seed))
        try:
            await cluster.start()
            await faults.run()
            waits = await faults.find_waits()
        finally:
            for instance in cluster.instances:
                await instance.kill()
        failed_tasks = [
            str(line)
            for log in cluster.logs
            for line in log.lines
            if line["event"] == "task_failed"
        ]
        found = [*waits, *cluster.find_repeated_runs(), *failed_tasks]
        return found, faults.events, cluster

    return run_virtual(main())


class LongRunningWaitsTest(unittest.TestCase):
    def test_tasks_run_again_soon_after_random_faults(self) -> None:
        for seed in CI_SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(simulate(seed)[0], [])


def find_pool_owner(cluster: JobCluster) -> PoolOwner:
    instance = cluster.find_owner()
    assert instance is not None and instance.node is not None
    owner = instance.node.find_owner(POOL)
    assert owner is not None
    return owner


class WaitCauseTest(JobCase):
    def test_worker_reached_again_after_its_runs_were_given_up_gets_tasks(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            lasting = TaskBehaviour(is_long_running=True)
            await cluster.submit(1, (LONG_RUNNING,), behaviour=lasting)
            await sleep(1.0)
            owner = cluster.find_owner()
            assert owner is not None
            name, worker = next(iter(cluster.workers.items()))
            owner.gateway.unreachable.add(name)
            await sleep(9.0)
            self.assertEqual(worker.running, [])
            owner.gateway.unreachable.clear()
            self.assertTrue(await cluster.wait_for(lambda: worker.running, 3.0))
            self.assertEqual(cluster.find_owner(), owner)

        self.run_scenario(scenario, workers=2)

    def test_long_running_task_uses_the_only_worker_apart_although_it_is_paused(
        self,
    ) -> None:
        async def scenario(cluster: JobCluster) -> None:
            lasting = TaskBehaviour(is_long_running=True)
            job = await cluster.submit(1, (LONG_RUNNING,), behaviour=lasting)
            await sleep(1.0)
            used = {run.worker for run in cluster.list_runs()}
            spare = (cluster.workers.keys() - used).pop()
            now = get_running_loop().time()
            workers = find_pool_owner(cluster).coordinator.state.workers
            workers[spare].score.pause(now + 16.0)
            lost = cluster.workers[min(used)]
            lost.crash()
            cluster.unregister_worker(lost.worker)

            def runs_on_spare() -> bool:
                return any(r.task.job == job for r in cluster.workers[spare].running)

            self.assertTrue(await cluster.wait_for(runs_on_spare, 9.0))

        self.run_scenario(scenario, workers=3)
