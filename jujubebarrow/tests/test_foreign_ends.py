"""Tasks that a worker does after it has moved to another pool.

The tests guard against a second run of a task whose end only the owner of the worker's
new pool has seen, and has acknowledged.
"""

from asyncio import get_running_loop, sleep

from jujubebarrow.identifiers import JobId
from jujubebarrow.runtimes.job_row_keys import (
    is_job_name,
    make_end_key,
    parse_end_name,
)
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.stores.row_keys import RowKey
from jujubebarrow.stores.transactions import Transaction
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import OTHER_POOL, POOL, QUEUE, JobCluster
from jujubebarrow.tests.fakes.virtual_loops import run_virtual
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec
from jujubebarrow.workloads.task_keys import TaskKey

SEEDS = (4, 7, 11, 12, 16, 25)
RESTART_SECONDS = 0.3
REPEAT_SECONDS = 45.0
"""Longer than the time after which a task starts again whose start got no response."""
CUT_SECONDS = 8.0
RETENTION_SECONDS = 200.0
STEP = StepSpec(count=1, needs=Resources(1000, 500), estimate=1.0)
BEHAVIOUR = TaskBehaviour(seconds=1.0)
TASK = TaskKey(JobId("j"), 0, 1, 20)


class ForeignEndTest(JobCase):
    async def _move_workers(self, cluster: JobCluster) -> JobId:
        """Submit a job whose start the next incarnations execute in another pool."""
        workers = list(cluster.workers.values())
        for worker in workers:
            worker.late_order_probability = 1.0
        job = await cluster.submit(1, (STEP,), behaviour=BEHAVIOUR)
        await sleep(RESTART_SECONDS)
        for worker in workers:
            worker.late_order_probability = 0.0
            worker.crash()
        await sleep(RESTART_SECONDS)
        for worker in workers:
            pool = POOL if worker.pool == OTHER_POOL else OTHER_POOL
            worker.restart(pool=pool)
            cluster.register_worker(worker.worker)
        self._set_unreachable(cluster, True)
        return job

    def _set_unreachable(self, cluster: JobCluster, is_unreachable: bool) -> None:
        """Set whether the new owners reach the workers, which fences late starts."""
        for instance in cluster.instances:
            if instance.node is not None and is_unreachable:
                instance.gateway.unreachable |= cluster.workers.keys()
            elif instance.node is not None:
                instance.gateway.unreachable -= cluster.workers.keys()

    def _run_move(self, seed: int) -> JobCluster:
        """Return the cluster after a run; starts in the wrong pool are expected."""

        async def main() -> JobCluster:
            cluster = JobCluster(seed=seed, workers=2, others=2, has_other_queue=True)
            try:
                await cluster.start()
                await cluster.wait_for(lambda: cluster.find_owner(OTHER_POOL), 10.0)
                await sleep(2.0)
                job = await self._move_workers(cluster)
                await sleep(CUT_SECONDS)
                self._set_unreachable(cluster, False)
                self.assertTrue(await cluster.wait_for_phase(job, "completed", 60.0))
                await sleep(REPEAT_SECONDS)
            finally:
                for instance in cluster.instances:
                    await instance.kill()
            return cluster

        cluster = run_virtual(main())
        self.assertEqual(cluster.find_repeated_runs(), [])
        self.assertNotIn("task_failed", self._find_events(cluster))
        return cluster

    def _find_events(self, cluster: JobCluster) -> list[str]:
        return [line["event"] for log in cluster.logs for line in log.lines]

    def test_task_done_in_another_pool_is_not_repeated(self) -> None:
        done_elsewhere = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cluster = self._run_move(seed)
                done_elsewhere += "task_done_elsewhere" in self._find_events(cluster)
        self.assertGreater(done_elsewhere, 0)

    def test_end_stored_while_the_pool_has_no_owner_counts(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            [worker] = [w for w in cluster.workers.values() if w.pool == POOL]
            worker.late_order_probability = 1.0
            job = await cluster.submit(1, (STEP,), behaviour=BEHAVIOUR)
            await sleep(RESTART_SECONDS)
            worker.crash()
            for instance in cluster.instances:
                await instance.kill()
            key = make_end_key(QUEUE, TaskKey(job, 0, 0, 0))
            cluster.store.table.commit(Transaction(writes={key: {}}, nonce="end"))
            for instance in cluster.instances:
                await instance.start()
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 30.0))

        cluster = self.run_scenario(scenario, workers=1, others=1, has_other_queue=True)
        self.assertEqual(cluster.list_runs(), [])

    def test_reported_ends_are_deleted_with_their_job(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            job = await cluster.submit(1, (STEP,), behaviour=BEHAVIOUR)
            await sleep(1.0)
            key = make_end_key(QUEUE, TaskKey(job, 0, 0, 0))
            cluster.store.table.commit(Transaction(writes={key: {}}, nonce="end"))
            get_running_loop().create_task(cluster.store.table.notify())
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 5.0))
            await sleep(RETENTION_SECONDS)
            self.assertEqual(list(cluster.store.table.read(f"jobs/{QUEUE}/").rows), [])

        self.run_scenario(scenario, workers=0, others=1, has_other_queue=True)

    def test_rows_of_ends_are_told_from_those_of_jobs(self) -> None:
        name = RowKey.parse(make_end_key(QUEUE, TASK)).name
        self.assertEqual(parse_end_name(name), TASK)
        self.assertFalse(is_job_name(name))
        for job in ("j", "j.0.1.20", "done", "j/done/x"):
            self.assertIsNone(parse_end_name(job))
            self.assertTrue(is_job_name(job))
        self.assertFalse(is_job_name("j/cancelled"))
