"""Steps that need machines which their pool has lent.

The tests guard against pools that count their machines by processor capacity alone, so
that accepted jobs never start in an idle fleet.
"""

from asyncio import sleep
from collections.abc import Awaitable, Callable

from jujubebarrow.identifiers import JobId
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.fake_machines import STANDBY
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import CAPACITY, OTHER_POOL, JobCluster
from jujubebarrow.workloads.finished_runs import RunOutcome
from jujubebarrow.workloads.identifiers import WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

WORKER_COUNT = 4
PEAK = StepSpec(count=60, needs=Resources(4000, 500))
SMALL = Resources(500, 500)
LARGE = SMALL._replace(memory=CAPACITY.memory // 2 + 1)
"""Needs of a task of which a worker has room for one."""
LABEL = "b"
CALM_SECONDS = 6.0
RETURN_SECONDS = 6.0
"""Time in which lent machines come back, each 1.5 s after its order, and a job of 0.5 s
ends."""
LABEL_SECONDS = 11.0
"""The same if jobs wait for some seconds before a machine comes for its label."""


class LentKindTest(JobCase):
    def test_gang_with_one_task_a_worker_gets_lent_machines_back(self) -> None:
        """Guards against a gang that waits for workers its pool has lent."""
        self._check_gang(
            StepSpec(count=WORKER_COUNT, needs=SMALL, gang=True, most_per_worker=1)
        )

    def test_gang_of_large_tasks_gets_lent_machines_back(self) -> None:
        """Guards against the same if the size of its tasks spreads the gang."""
        self._check_gang(StepSpec(count=WORKER_COUNT, needs=LARGE, gang=True))

    def test_job_gets_the_lent_worker_with_its_label(self) -> None:
        """Guards against jobs that wait for a label whose only worker is lent."""
        lent_count = 0
        for number in range(WORKER_COUNT):
            labelled = WorkerId(f"o{number}")

            async def scenario(
                cluster: JobCluster, labelled: WorkerId = labelled
            ) -> None:
                nonlocal lent_count
                cluster.workers[labelled].restart(labels=(LABEL, "r1"))
                cluster.register_worker(labelled)
                await sleep(4.0)
                await self._lend_machines(cluster)
                lent_count += cluster.workers[labelled].pool != OTHER_POOL
                step = StepSpec(needs=SMALL, label=LABEL)
                await self._check_job(cluster, step, LABEL_SECONDS)

            self._run(scenario)
        self.assertGreater(lent_count, 0)

    def test_job_gets_a_standby_machine_with_its_label(self) -> None:
        """Guards against the same if a machine that is switched off has the label."""
        self._check_standby(StepSpec(needs=SMALL, label=LABEL), 1)

    def test_gang_gets_all_machines_with_its_label(self) -> None:
        """Guards against a gang that waits since the pool has one such worker."""
        gang = StepSpec(count=2, needs=SMALL, gang=True, most_per_worker=1, label=LABEL)
        self._check_standby(gang, 2)

    def _check_standby(self, step: StepSpec, machine_count: int) -> None:
        async def scenario(cluster: JobCluster) -> None:
            names = list(cluster.workers)[-machine_count:]
            for name in names:
                cluster.workers[name].labels = (LABEL, "r1")
            await sleep(4.0)
            await self._check_job(cluster, step, machine_count * LABEL_SECONDS)
            machines = [m for m, pool, _ in cluster.machines.moves if pool == STANDBY]
            self.assertEqual(sorted(machines), [f"m-{name}" for name in names])

        self._run(scenario, standby=3)

    def _check_gang(self, step: StepSpec) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await self._lend_machines(cluster)
            await self._check_job(cluster, step, RETURN_SECONDS)

        self._run(scenario)

    async def _check_job(
        self, cluster: JobCluster, step: StepSpec, seconds: float
    ) -> None:
        """Submit a job to the pool that has lent machines, and check that it ends."""
        [route] = cluster.other_routes
        job = await cluster.submit(3, (step,), route=route)
        is_done = await cluster.wait_for(
            lambda: count_done(cluster, job) == step.count, seconds
        )
        self.assertTrue(is_done)

    async def _lend_machines(self, cluster: JobCluster) -> None:
        """Let a pool lend machines for the peak of another one, which ends."""
        await cluster.submit(2, (PEAK,), behaviour=TaskBehaviour(seconds=2.0))
        await sleep(2.0 * 60 / (2 * WORKER_COUNT) + CALM_SECONDS)
        pools = [worker.pool for worker in cluster.workers.values()]
        self.assertLess(pools.count(OTHER_POOL), WORKER_COUNT)

    def _run(
        self,
        scenario: Callable[[JobCluster], Awaitable[None]],
        standby: int = 0,
    ) -> None:
        async def main(cluster: JobCluster) -> None:
            await cluster.wait_for(lambda: cluster.find_owner(OTHER_POOL), 10.0)
            await sleep(4.0)
            await scenario(cluster)

        self.run_scenario(
            main,
            workers=WORKER_COUNT,
            others=WORKER_COUNT,
            standby=standby,
            has_other_queue=True,
        )


def count_done(cluster: JobCluster, job: JobId) -> int:
    """Return the number of a job's tasks that are done."""
    return sum(
        run.task.job == job and run.outcome is RunOutcome.DONE
        for run in cluster.list_runs()
    )
