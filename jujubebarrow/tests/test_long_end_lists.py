"""Workers with more unacknowledged ends than one of their lists has.

The tests guard against tasks that are started again after their end because their run
was in neither list of its worker.
"""

from asyncio import sleep

from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import JobCluster
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

CAPACITY = Resources(1_000_000, 1_000_000)
OUTAGE_SECONDS = 4.2
TASK_SECONDS = 7.0
JOB_COUNT = 60
STEP = StepSpec(count=30, needs=Resources(1000, 64), estimate=TASK_SECONDS)


class LongEndListTest(JobCase):
    def submit_all(self, kills_owner: bool) -> None:
        async def scenario(cluster: JobCluster) -> None:
            for name, worker in cluster.workers.items():
                worker.capacity = CAPACITY
                cluster.register_worker(name)
            behaviour = TaskBehaviour(seconds=TASK_SECONDS)
            jobs = [
                await cluster.submit(number, (STEP,), behaviour=behaviour)
                for number in range(JOB_COUNT)
            ]
            task_count = JOB_COUNT * STEP.count
            started = await cluster.wait_for(
                lambda: len(cluster.list_runs()) == task_count, TASK_SECONDS
            )
            self.assertTrue(started)
            await sleep(TASK_SECONDS - 2.0)
            cluster.store.is_down = True
            await sleep(OUTAGE_SECONDS)
            cluster.store.is_down = False
            if kills_owner:
                owner = cluster.find_owner()
                assert owner is not None
                await owner.kill()
            other = next(i for i, each in enumerate(cluster.instances) if each.node)
            for job in jobs:
                done = await cluster.wait_for_phase(job, "completed", 20.0, other)
                self.assertTrue(done)
            self.assertEqual(set(cluster.count_starts().values()), {1})

        self.run_scenario(scenario)

    def test_ends_beyond_the_first_list_are_not_repeated(self) -> None:
        self.submit_all(kills_owner=False)

    def test_successor_repeats_no_ends_beyond_the_first_list(self) -> None:
        self.submit_all(kills_owner=True)

    def test_ends_beyond_the_first_list_are_known_in_spite_of_late_starts(self) -> None:
        """Guards against jobs that seem to run until no late start can come."""

        async def scenario(cluster: JobCluster) -> None:
            for name, worker in cluster.workers.items():
                worker.capacity = CAPACITY
                worker.response_loss_probability = 0.05
                cluster.register_worker(name)
            behaviour = TaskBehaviour(seconds=2.0)
            jobs = [
                await cluster.submit(number, (STEP,), behaviour=behaviour)
                for number in range(JOB_COUNT)
            ]
            for job in jobs:
                done = await cluster.wait_for_phase(job, "completed", 8.0)
                self.assertTrue(done)

        self.run_scenario(scenario)
