"""Workers that restart while they are idle, before a new registration is known.

The tests guard against tasks that start on a worker which no longer has their label or
has joined another pool.
"""

from asyncio import sleep

from jujubebarrow.standins.emulated_workers import EmulatedWorker
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import OTHER_POOL, POOL, JobCluster
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

IDLE_SECONDS = 6.0
REGISTRATION_SECONDS = 1.0
STEP = StepSpec(count=16, needs=Resources(1000, 100), estimate=1.0, label="a")
OTHER_LABELS = ("b", "r1")
LONGEST_START_SECONDS = 0.15


class IdleWorkerTest(JobCase):
    def run_restarts(
        self, labels: tuple[str, ...] | None = None, joins_other_pool: bool = False
    ) -> None:
        """Submit a job between the restarts of idle workers and their registration."""

        async def scenario(cluster: JobCluster) -> None:
            await cluster.wait_for(lambda: cluster.find_owner(POOL), 10.0)
            await sleep(IDLE_SECONDS)
            restarted = self.list_workers(cluster)[1:]
            for worker in restarted:
                worker.restart(
                    labels=labels, pool=OTHER_POOL if joins_other_pool else None
                )
            job = await cluster.submit(1, (STEP,))
            await sleep(REGISTRATION_SECONDS)
            for worker in restarted:
                cluster.register_worker(worker.worker)
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 10.0))

        self.run_scenario(scenario, workers=4, others=1, has_other_queue=True)

    def list_workers(self, cluster: JobCluster) -> list[EmulatedWorker]:
        return [w for w in cluster.workers.values() if w.pool == POOL]

    def test_idle_worker_that_restarted_as_another_kind_gets_no_task(self) -> None:
        self.run_restarts(labels=OTHER_LABELS)

    def test_idle_worker_that_joined_another_pool_gets_no_task(self) -> None:
        self.run_restarts(joins_other_pool=True)

    def test_task_does_not_wait_for_an_idle_worker_that_is_gone(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await cluster.wait_for(lambda: cluster.find_owner(POOL), 10.0)
            await sleep(IDLE_SECONDS)
            self.list_workers(cluster)[0].crash()
            job = await cluster.submit(1, (STEP,))
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 3.0))

        self.run_scenario(scenario, workers=4, others=1, has_other_queue=True)

    def test_idle_worker_starts_a_task_without_delay(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await cluster.wait_for(lambda: cluster.find_owner(POOL), 10.0)
            await sleep(IDLE_SECONDS)
            submitted_at = cluster.instances[0].clock.monotonic()
            job = await cluster.submit(1, (STEP,))
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 10.0))
            [run, *_] = cluster.list_runs()
            self.assertLess(run.started_at - submitted_at, LONGEST_START_SECONDS)

        self.run_scenario(scenario, workers=4, others=1, has_other_queue=True)
