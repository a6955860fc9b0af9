"""Jobs whose workers are lost again and again while no run fails.

The tests guard against accepted jobs that are shown as failed without a failed run: the
loss of a worker is no attempt, whether the worker crashed or nobody could reach it.
"""

from asyncio import get_running_loop, sleep
from random import Random

from jujubebarrow.identifiers import JobId
from jujubebarrow.standins.emulated_workers import EmulatedWorker, TaskBehaviour
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import JobCluster
from jujubebarrow.workloads.identifiers import WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

SMALL = Resources(1000, 500)
CUT_SECONDS = 14.0
"""Longer than a lease, so that the runs end with it."""
CUT_COUNT = 8
CRASH_COUNT = 6
CRASH_SECONDS = 4.5
RESTART_BOUND_SECONDS = 9.0
"""Time after its last run in which a task that lasts has to run again."""


def set_unreachable(cluster: JobCluster, names: set[WorkerId]) -> None:
    for instance in cluster.instances:
        if instance.node is not None:
            instance.gateway.unreachable = set(names)


def find_busy_worker(cluster: JobCluster) -> EmulatedWorker | None:
    return next((each for each in cluster.workers.values() if each.running), None)


async def submit_during_cuts(
    cluster: JobCluster, random: Random, share: float
) -> list[JobId]:
    jobs: list[JobId] = []

    async def submit() -> None:
        for number in range(48):
            step = StepSpec(count=3, needs=SMALL, estimate=2.0)
            behaviour = TaskBehaviour(seconds=random.uniform(1.0, 6.0))
            jobs.append(await cluster.submit(number, (step,), behaviour=behaviour))
            await sleep(1.5)

    load = get_running_loop().create_task(submit())
    for _ in range(CUT_COUNT):
        count = round(share * len(cluster.workers))
        set_unreachable(cluster, set(random.sample(sorted(cluster.workers), count)))
        await sleep(CUT_SECONDS)
        set_unreachable(cluster, set())
        await sleep(random.uniform(0.5, 1.5))
    await load
    return jobs


class LostWorkerTest(JobCase):
    def assert_all_complete(self, share: float, seed_count: int) -> None:
        async def scenario(cluster: JobCluster) -> None:
            random = Random(seed)
            jobs = await submit_during_cuts(cluster, random, share)
            for job in jobs:
                done = await cluster.wait_for_phase(job, "completed", 40.0)
                self.assertTrue(done, (seed, job, await cluster.read_phase(job)))

        for seed in range(1, seed_count + 1):
            self.run_scenario(scenario, workers=8, seed=seed)

    def test_half_of_the_workers_cut_off_again_and_again_fails_no_job(self) -> None:
        self.assert_all_complete(0.5, 10)

    def test_all_workers_cut_off_again_and_again_fails_no_job(self) -> None:
        self.assert_all_complete(1.0, 2)

    def test_crashes_of_the_workers_of_one_task_do_not_fail_its_job(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            behaviour = TaskBehaviour(seconds=15.0)
            step = StepSpec(needs=SMALL, estimate=15.0)
            job = await cluster.submit(1, (step,), behaviour=behaviour)
            for _ in range(CRASH_COUNT):
                await cluster.wait_for(lambda: find_busy_worker(cluster), 20.0)
                await sleep(2.0)
                worker = find_busy_worker(cluster)
                assert worker is not None
                worker.crash()
                cluster.unregister_worker(worker.worker)
                await sleep(CRASH_SECONDS)
                worker.restart()
                cluster.register_worker(worker.worker)
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 40.0))

        self.run_scenario(scenario, workers=8)

    def test_crashes_of_the_workers_of_a_lasting_task_do_not_fail_its_job(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            forever = TaskBehaviour(is_long_running=True)
            step = StepSpec(needs=SMALL, long_running=True)
            job = await cluster.submit(1, (step,), behaviour=forever)
            for _ in range(CRASH_COUNT):
                await cluster.wait_for(lambda: find_busy_worker(cluster), 20.0)
                worker = find_busy_worker(cluster)
                assert worker is not None
                worker.restart()
                cluster.register_worker(worker.worker)
            await sleep(RESTART_BOUND_SECONDS)
            self.assertEqual(await cluster.read_phase(job), "running")
            active = [run for run in cluster.list_runs() if run.ended_at is None]
            self.assertEqual(len(active), 1)
            # The task has survived its last start and keeps nobody off its worker.
            beside = StepSpec(count=63, needs=SMALL, estimate=5.0)
            long = TaskBehaviour(seconds=5.0)
            await cluster.submit(2, (beside,), behaviour=long)
            await sleep(2.0)
            active = [run for run in cluster.list_runs() if run.ended_at is None]
            self.assertEqual(len(active), 64)

        self.run_scenario(scenario, workers=8)

    def test_silent_workers_that_respond_again_are_not_counted(self) -> None:
        """Guards against tasks that wait because a worker could not be reached."""

        async def scenario(cluster: JobCluster) -> None:
            behaviour = TaskBehaviour(seconds=30.0)
            job = await cluster.submit(1, (StepSpec(needs=SMALL),), behaviour=behaviour)
            for _ in range(4):
                await cluster.wait_for(lambda: find_busy_worker(cluster), 20.0)
                worker = find_busy_worker(cluster)
                assert worker is not None
                set_unreachable(cluster, {worker.worker})
                await sleep(CUT_SECONDS)
                set_unreachable(cluster, set())
                await sleep(2.0)
            lines = [line for log in cluster.logs for line in log.lines]
            lost = [x for x in lines if x["event"] == "worker_lost_under_task"]
            regained = [x for x in lines if x["event"] == "worker_not_lost"]
            self.assertEqual(len(lost), 4)
            self.assertEqual(len(regained), 4)
            self.assertEqual(regained[-1]["losses"], 0)
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 40.0))

        self.run_scenario(scenario, workers=8)
