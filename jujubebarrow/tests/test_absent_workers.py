"""Tasks of workers that crashed while other workers were out of reach for a while.

The tests guard against tasks that wait for leases and late starts of a worker although
the list of machines shows that none runs it.
"""

from asyncio import get_running_loop, sleep

from jujubebarrow.runtimes.order_senders import LATE_START_SECONDS
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import JobCluster
from jujubebarrow.workloads.identifiers import WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

CRASHED = WorkerId("w0")
CUT = WorkerId("w1")
TASKS = StepSpec(count=6, needs=Resources(1000, 500), most_per_worker=2)
BEHAVIOUR = TaskBehaviour(seconds=60.0)
RUNNING_SECONDS = 2.0
KILL_SECONDS = 0.3
"""Time from the crash until the owner is killed."""
CUT_SECONDS = 5.0
REGISTRATION_SECONDS = 3.0
"""Time for which the registration of the crashed worker stays."""
WATCH_SECONDS = 40.0
START_SECONDS = 2.5
"""Time in which the machines are listed and a task is planned and started."""
SEEDS = range(1, 4)


async def cut_off(cluster: JobCluster, worker: WorkerId, seconds: float) -> None:
    """Cut a worker off from all instances, also from those that start meanwhile."""
    deadline = get_running_loop().time() + seconds
    while get_running_loop().time() < deadline:
        for instance in cluster.instances:
            if instance.node is not None:
                instance.gateway.unreachable = {worker}
        await sleep(0.05)
    for instance in cluster.instances:
        if instance.node is not None:
            instance.gateway.unreachable = set()


class AbsentWorkerTest(JobCase):
    def measure_wait(self, seed: int, kills_owner: bool) -> float:
        """Return how long the tasks of a worker that is lost run nowhere.

        Args:
            seed: Seed of the cluster's random choices.
            kills_owner: Whether the owner is killed after the loss.

        Returns:
            Seconds from the takeover, or else from the removal of the registration.
        """
        waits = []

        async def scenario(cluster: JobCluster) -> None:
            loop = get_running_loop()
            job = await cluster.submit(1, (TASKS,), 1, BEHAVIOUR)
            await sleep(RUNNING_SECONDS)
            lost = {
                run.task
                for run in cluster.list_runs()
                if run.worker == CRASHED and run.task.job == job
            }
            self.assertTrue(lost)
            cluster.workers[CRASHED].crash()
            loop.create_task(cut_off(cluster, CUT, CUT_SECONDS))
            await sleep(KILL_SECONDS)
            since = loop.time()
            if kills_owner:
                owner = cluster.find_owner()
                assert owner is not None
                await owner.kill()
                await cluster.wait_for(cluster.find_owner, WATCH_SECONDS)
                since = loop.time()
            await sleep(REGISTRATION_SECONDS)
            cluster.unregister_worker(CRASHED)
            if not kills_owner:
                since = loop.time()

            def find_repeated() -> set[object]:
                return {
                    run.task for run in cluster.list_runs() if run.worker != CRASHED
                } & lost

            await cluster.wait_for(lambda: find_repeated() == lost, WATCH_SECONDS)
            waits.append(loop.time() - since)

        self.run_scenario(scenario, seed=seed, workers=4, instances=3)
        return waits[0]

    def test_tasks_of_a_crashed_worker_wait_for_no_lease_after_a_takeover(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                wait = self.measure_wait(seed, kills_owner=True)
                # The next incarnation may execute a start of the former owner.
                self.assertLess(wait, LATE_START_SECONDS + START_SECONDS)

    def test_tasks_of_a_listed_worker_without_registration_run_nowhere_else(
        self,
    ) -> None:
        """Guards against a second run while the worker is only out of reach."""

        async def scenario(cluster: JobCluster) -> None:
            await cluster.submit(1, (TASKS,), 1, BEHAVIOUR)
            await sleep(RUNNING_SECONDS)
            cluster.unregister_worker(CUT)
            await cut_off(cluster, CUT, CUT_SECONDS)
            self.assertTrue(cluster.workers[CUT].running)
            await sleep(WATCH_SECONDS)

        for seed in SEEDS:
            with self.subTest(seed=seed):
                # Checks that no task has run twice.
                self.run_scenario(scenario, seed=seed, workers=4, instances=3)

    def test_tasks_of_a_crashed_worker_wait_for_no_renewal(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                wait = self.measure_wait(seed, kills_owner=False)
                self.assertLess(wait, START_SECONDS)
