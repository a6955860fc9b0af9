"""Partitions of the store that do not answer, while the others do."""

from asyncio import get_running_loop, sleep

from jujubebarrow.errors.exceptions import StoreError
from jujubebarrow.identifiers import JobId
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.stores.row_keys import TableName, make_key
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import OTHER_ROUTE, QUEUE, JobCluster
from jujubebarrow.tests.test_takeover_times import TAKEOVER_LIMIT_SECONDS

PARTITION = "unavailable"
CALL_SPACING_SECONDS = 0.1
OUTAGE_SECONDS = 5.0
TASK_SECONDS = 12.0
"""Longer than the outage and the takeover."""
NOTICED_SECONDS = 2.0
"""Time in which an instance finds that its direct path is not the cause."""


class PartitionFailureTest(JobCase):
    def test_failing_partition_is_not_taken_for_a_failing_path(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await sleep(2.0)
            owner = cluster.find_owner()
            assert owner is not None
            cluster.store.unavailable_partitions.add(PARTITION)
            began_at = get_running_loop().time()
            while get_running_loop().time() < began_at + OUTAGE_SECONDS:
                with self.assertRaises(StoreError):
                    await owner.relayed.read(make_key(TableName.JOBS, PARTITION, ""))
                await sleep(CALL_SPACING_SECONDS)
            changes = [
                (line["event"], line["at"] - began_at)
                for line in owner.log.lines
                if line["event"] in ("store_relayed", "store_direct")
            ]
            self.assertEqual(changes[-1][0], "store_direct", changes)
            self.assertLess(changes[-1][1], NOTICED_SECONDS, changes)

        for seed in range(1, 4):
            self.run_scenario(scenario, seed=seed, instances=8)

    def test_pool_is_taken_over_while_the_queue_of_another_pool_does_not_answer(
        self,
    ) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await cluster.submit(1, route=OTHER_ROUTE)
            await cluster.submit(2)
            await sleep(3.0)
            owner = cluster.find_owner()
            assert owner is not None
            cluster.store.unavailable_partitions.add(OTHER_ROUTE.queue)
            await owner.kill()
            number = cluster.instances.index(
                next(one for one in cluster.instances if one.node is not None)
            )
            job = await cluster.submit(3, instance=number)
            has_ended = await cluster.wait_for_phase(
                job, "completed", TAKEOVER_LIMIT_SECONDS, number
            )
            cluster.store.unavailable_partitions.clear()
            await sleep(5.0)
            self.assertTrue(has_ended)

        self.run_scenario(scenario, instances=8, others=2, has_other_queue=True)

    def test_takeover_waits_for_a_queue_that_may_have_runs_of_the_pool(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await cluster.submit(1, behaviour=TaskBehaviour(TASK_SECONDS))
            await sleep(3.0)
            owner = cluster.find_owner()
            assert owner is not None
            cluster.store.unavailable_partitions.add(QUEUE)
            await owner.kill()
            await sleep(OUTAGE_SECONDS)
            self.assertIsNone(cluster.find_owner())
            cluster.store.unavailable_partitions.clear()
            number = cluster.instances.index(
                next(one for one in cluster.instances if one.node is not None)
            )
            job = JobId(f"{1:016x}")
            self.assertTrue(
                await cluster.wait_for_phase(job, "completed", 30.0, number)
            )
            self.assertEqual(set(cluster.count_starts().values()), {1})

        self.run_scenario(scenario, instances=8)

    def test_first_job_of_a_queue_whose_owner_was_lost_before_it_heard_of_it_runs(
        self,
    ) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await sleep(3.0)
            owner = cluster.find_owner()
            assert owner is not None
            others = [one for one in cluster.instances if one is not owner]
            number = cluster.instances.index(others[0])
            submission = get_running_loop().create_task(
                cluster.submit(1, instance=number)
            )
            await owner.kill()
            job = await submission
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 8.0, number))

        self.run_scenario(scenario, instances=8)

    def test_path_that_is_down_is_noticed_beside_a_failing_partition(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await sleep(2.0)
            owner = cluster.find_owner()
            assert owner is not None
            number = cluster.instances.index(owner)
            cluster.store.unavailable_partitions.add(PARTITION)
            for _ in range(20):
                with self.assertRaises(StoreError):
                    await owner.relayed.read(make_key(TableName.JOBS, PARTITION, ""))
                await sleep(CALL_SPACING_SECONDS)
            owner.store.is_rejecting_calls = True
            job = await cluster.submit(1, instance=number)
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 5.0, number))
            self.assertIs(cluster.find_owner(), owner)

        self.run_scenario(scenario, instances=8)
