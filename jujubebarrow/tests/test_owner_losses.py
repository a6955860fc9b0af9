"""Jobs of a demand peak whose pool loses its owner."""

from asyncio import gather, get_running_loop, sleep
from collections.abc import Awaitable, Callable

from jujubebarrow.identifiers import JobId
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import Instance, JobCluster

PEAK_SECONDS = 4.0
"""Duration of the shortest demand peaks of the users' queues."""
LOSS_SECONDS = 1.0
"""Time from the beginning of the peak to the loss of the owner."""
JOBS_RATE = 20
"""Jobs a second; the workers have room for three times as many."""
TASK_SECONDS = 0.8
START_AIM_SECONDS = 0.6
"""Objective of the users' jobs beyond their work."""
TIMELY_SHARE = 0.6
"""Part of the peak's jobs that have to start in time, whatever happens to one owner."""
FREEZE_SECONDS = 3.0
OBSERVED_SECONDS = 8.0
INSTANCE_COUNT = 10
WORKER_COUNT = 15
SEEDS = range(1, 6)

Loss = Callable[[JobCluster, Instance], Awaitable[None]]


async def kill(cluster: JobCluster, owner: Instance) -> None:
    await owner.kill()


async def kill_half(cluster: JobCluster, owner: Instance) -> None:
    others = [one for one in cluster.instances[1:] if one is not owner]
    await gather(*(one.kill() for one in [owner, *others[: INSTANCE_COUNT // 2 - 1]]))


async def cut_off(cluster: JobCluster, owner: Instance) -> None:
    owner.store.is_disconnected = owner.is_isolated = True


async def freeze(cluster: JobCluster, owner: Instance) -> None:
    owner.freeze()
    get_running_loop().call_later(FREEZE_SECONDS, owner.thaw)


async def stop(cluster: JobCluster, owner: Instance) -> None:
    await owner.stop()


class OwnerLossTest(JobCase):
    def _measure_timely_share(self, lose: Loss, seed: int) -> float:
        accepted_at: dict[JobId, float] = {}

        async def submit(cluster: JobCluster, number: int) -> None:
            began_at = get_running_loop().time()
            behaviour = TaskBehaviour(TASK_SECONDS)
            job = await cluster.submit(number, behaviour=behaviour)
            accepted_at[job] = began_at

        async def scenario(cluster: JobCluster) -> None:
            await sleep(5.0)
            owner = cluster.find_owner()
            assert owner is not None
            # The jobs are submitted to the first instance.
            if owner is cluster.instances[0]:
                cluster.instances[0], cluster.instances[1] = cluster.instances[1::-1]
            loss_job = round(LOSS_SECONDS * JOBS_RATE)
            submissions = []
            for number in range(round(PEAK_SECONDS * JOBS_RATE)):
                if number == loss_job:
                    submissions.append(
                        get_running_loop().create_task(lose(cluster, owner))
                    )
                submissions.append(
                    get_running_loop().create_task(submit(cluster, number + 1))
                )
                await sleep(1 / JOBS_RATE)
            await gather(*submissions)
            await sleep(OBSERVED_SECONDS)

        cluster = self.run_scenario(
            scenario, seed=seed, instances=INSTANCE_COUNT, workers=WORKER_COUNT
        )
        started_at: dict[JobId, float] = {}
        for run in cluster.list_runs():
            first_at = started_at.get(run.task.job, run.started_at)
            started_at[run.task.job] = min(first_at, run.started_at)
        timely_count = sum(
            started_at.get(job, float("inf")) - at <= START_AIM_SECONDS
            for job, at in accepted_at.items()
        )
        return timely_count / len(accepted_at)

    def _check(self, lose: Loss) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                share = self._measure_timely_share(lose, seed)
                self.assertGreater(share, TIMELY_SHARE)

    def test_killed_owner_makes_few_jobs_of_a_peak_late(self) -> None:
        self._check(kill)

    def test_loss_of_half_of_the_instances_makes_few_jobs_of_a_peak_late(self) -> None:
        self._check(kill_half)

    def test_owner_that_is_cut_off_makes_few_jobs_of_a_peak_late(self) -> None:
        self._check(cut_off)

    def test_frozen_owner_makes_few_jobs_of_a_peak_late(self) -> None:
        self._check(freeze)

    def test_stopped_owner_makes_few_jobs_of_a_peak_late(self) -> None:
        self._check(stop)
