"""Workers that join a pool under the id that they had in another one.

The tests guard against a start of the former pool that is executed beside runs of the
new one, and against joined workers that get no tasks.
"""

from asyncio import sleep

from jujubebarrow.coordinators.order_results import OrderOutcome
from jujubebarrow.coordinators.orders import StartOrder
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import OTHER_POOL, POOL, JobCluster
from jujubebarrow.workloads.identifiers import RunNumber, WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec
from jujubebarrow.workloads.task_keys import TaskKey

SETTLE_SECONDS = 2.0
LONG_STAY_SECONDS = 30.0
"""Longer than twice the time in which late orders may be executed."""
JOINED = WorkerId("o0")
STEP = StepSpec(count=6, needs=Resources(4000, 500))


class JoinedWorkerTest(JobCase):
    async def make_late_start(
        self, cluster: JobCluster, stay_seconds: float
    ) -> StartOrder:
        """Return a start by an owner of the other pool that claimed it last.

        Args:
            cluster: Simulated cluster.
            stay_seconds: Time from that claim to the start.
        """
        owner = cluster.find_owner(OTHER_POOL)
        assert owner is not None
        await owner.kill()
        await owner.start()
        await cluster.wait_for(lambda: cluster.find_owner(OTHER_POOL), 10.0)
        await sleep(stay_seconds)
        owner = cluster.find_owner(OTHER_POOL)
        pool_owner = owner and owner.node and owner.node.find_owner(OTHER_POOL)
        assert pool_owner
        [route] = cluster.other_routes
        job = await cluster.submit(1, (STEP,), route=route)
        await sleep(SETTLE_SECONDS)
        return StartOrder(
            worker=JOINED,
            address=JOINED,
            task=TaskKey(job, 0, 0, 0),
            run=RunNumber(9),
            payload="",
            deadline=float("inf"),
            token=pool_owner.coordinator.state.workers[JOINED].token,
            checkpoint="",
            ticket="",
        )

    def run_move(self, stay_seconds: float) -> None:
        """Let a worker join the pool, then execute a start of its former pool."""

        async def scenario(cluster: JobCluster) -> None:
            await cluster.wait_for(lambda: cluster.find_owner(POOL), 10.0)
            late_start = await self.make_late_start(cluster, stay_seconds)
            worker = cluster.workers[JOINED]
            worker.crash()
            cluster.unregister_worker(JOINED)
            await sleep(SETTLE_SECONDS)
            worker.restart(pool=POOL)
            cluster.register_worker(JOINED)
            await sleep(SETTLE_SECONDS)
            await cluster.submit(2, (STEP,), behaviour=TaskBehaviour(seconds=3.0))
            self.assertTrue(await cluster.wait_for(lambda: worker.running, 2.0))
            result = worker.start(late_start)
            self.assertIs(result.outcome, OrderOutcome.FENCED)

        self.run_scenario(scenario, workers=1, others=2, has_other_queue=True)

    def test_late_start_of_the_former_pool_is_fenced_before_tasks_are_placed(
        self,
    ) -> None:
        self.run_move(SETTLE_SECONDS)

    def test_late_start_is_fenced_after_a_long_stay_in_the_former_pool(self) -> None:
        self.run_move(LONG_STAY_SECONDS)
