"""Pools that have lent machines whose workers keep their ids.

The tests guard against an owner that asks the workers which it has lent: they refuse
it, and the pool's orders stop until the store has confirmed its claim.
"""

from asyncio import get_running_loop, sleep
from typing import Any

from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import OTHER_POOL, JobCluster
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

PEAK = StepSpec(count=60, needs=Resources(4000, 500))
SMALL = StepSpec(needs=Resources(100, 10))


class LentWorkerTest(JobCase):
    def run_moves(self, confirm_seconds: float = 0.0) -> tuple[JobCluster, list[float]]:
        """Lend machines while jobs of the lending pool arrive.

        Args:
            confirm_seconds: Additional time that the store takes to confirm a claim.

        Returns:
            Cluster, and the time to the first start of each job of the lending pool.
        """
        waits: list[float] = []

        async def scenario(cluster: JobCluster) -> None:
            await cluster.wait_for(lambda: cluster.find_owner(OTHER_POOL), 10.0)
            await sleep(4.0)
            owner = cluster.find_owner(OTHER_POOL)
            pool_owner = owner and owner.node and owner.node.find_owner(OTHER_POOL)
            assert pool_owner
            duty_store = pool_owner._ownership._duty_store
            confirm = duty_store.confirm

            async def confirm_slowly(row: Any) -> Any:
                await sleep(confirm_seconds)
                return await confirm(row)

            duty_store.confirm = confirm_slowly  # type: ignore[method-assign]
            [route] = cluster.other_routes
            await cluster.submit(2, (PEAK,), behaviour=TaskBehaviour(seconds=2.0))
            await cluster.wait_for(lambda: cluster.machines.moves, 5.0)
            submitted: dict[str, float] = {}
            for number in range(3, 40):
                now = get_running_loop().time()
                behaviour = TaskBehaviour(seconds=0.1)
                job = await cluster.submit(
                    number, (SMALL,), behaviour=behaviour, route=route
                )
                submitted[job] = now
                await sleep(0.2)
            await sleep(6.0)
            waits.extend(
                run.started_at - submitted[run.task.job]
                for run in cluster.list_runs()
                if run.task.job in submitted
            )

        cluster = self.run_scenario(scenario, workers=2, others=4, has_other_queue=True)
        self.assertTrue(cluster.machines.moves)
        return cluster, waits

    def test_claim_of_the_lending_pool_is_not_disputed(self) -> None:
        cluster, _ = self.run_moves()
        confirmed = [
            line["pool"]
            for log in cluster.logs
            for line in log.lines
            if line["event"] == "claim_confirmed"
        ]
        self.assertNotIn(OTHER_POOL, confirmed)

    def test_tasks_of_the_lending_pool_start_while_the_store_is_slow(self) -> None:
        _, waits = self.run_moves(confirm_seconds=2.0)
        self.assertLess(max(waits), 0.5)
