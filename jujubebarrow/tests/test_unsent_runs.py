"""Runs whose start order was never sent.

The test guards against a task that waits for an unreachable worker although no start
order has been sent and another worker has room.
"""

from asyncio import sleep

from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import POOL, JobCluster

SLOW_STORE_SECONDS = 0.3
OUTAGE_SECONDS = 3.0
LEASE_AND_RESTART_SECONDS = 15.0


class UnsentRunTest(JobCase):
    def test_recorded_run_that_was_never_sent_moves_from_an_unreachable_worker(
        self,
    ) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await cluster.submit(1)
            await sleep(3.0)
            instance = cluster.find_owner()
            owner = instance and instance.node and instance.node.find_owner(POOL)
            assert owner
            workers = owner.coordinator.state.workers
            cluster.store.extra_delay_seconds = SLOW_STORE_SECONDS
            job = await cluster.submit(2)
            await cluster.wait_for(lambda: any(w.runs for w in workers.values()), 5.0)
            lost = {name for name, worker in workers.items() if worker.runs}
            self.assertLess(len(lost), len(workers))
            for other in cluster.instances:
                other.gateway.unreachable |= lost
            cluster.store.is_down = True
            await sleep(OUTAGE_SECONDS)
            cluster.store.is_down = False
            cluster.store.extra_delay_seconds = 0.0
            self.assertTrue(
                await cluster.wait_for_phase(
                    job, "completed", LEASE_AND_RESTART_SECONDS
                )
            )

        self.run_scenario(scenario)
