"""Runs the job core under mixed faults, then looks for jobs that wait in calm.

Guards against accepted jobs of which nothing runs although a task's turn has come, and
its team's limit and most of the pool are free.
"""

import sys
import unittest
from asyncio import get_running_loop, sleep
from random import Random

from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.tests.fakes.idle_jobs import IdleJobWatch
from jujubebarrow.tests.fakes.job_clusters import JobCluster
from jujubebarrow.tests.fakes.mixed_faults import FAULT_SECONDS, MixedFaults
from jujubebarrow.tests.fakes.virtual_loops import run_virtual
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

SEEDS = range(1, 7)
LIMIT = Resources(40_000, 90_000, 0)
ACCEPTED_LEASE_SECONDS = 10.0
CALM_SECONDS = 20.0
FAILING_SHARE = 0.08
LOST_COUNT = 2
"""Workers that are cut off near the end of the faults and never come back."""


class LargeStepFaults(MixedFaults):
    """Mixed faults under jobs with large steps; some workers are lost for good."""

    async def run(self) -> None:
        loss = get_running_loop().create_task(self._lose_workers())
        await super().run()
        await loss

    async def _lose_workers(self) -> None:
        await sleep(FAULT_SECONDS - self.random.uniform(5.0, 8.0))
        names = set(self.random.sample(sorted(self.cluster.workers), LOST_COUNT))
        self._withdrawn |= names
        deadline = get_running_loop().time() + self.random.uniform(3.0, 5.0)
        while get_running_loop().time() < deadline:
            self._set_unreachable(names, True)
            await sleep(0.05)
        for name in names:
            self.cluster.workers[name].crash()
            self.cluster.unregister_worker(name)
        await sleep(self.random.uniform(0.0, 4.0))
        instances = [each for each in self.cluster.instances if each.node is not None]
        for instance in instances:
            await instance.kill()
        await sleep(1.0)
        for instance in instances:
            await instance.start()

    def _draw_steps(self) -> tuple[tuple[StepSpec, ...], TaskBehaviour]:
        behaviour = TaskBehaviour(
            seconds=self.random.uniform(0.5, 2.5),
            is_failing=self.random.random() < FAILING_SHARE,
        )
        steps = tuple(
            StepSpec(
                count=self.random.choice((1, 2, 4, 8, 16)),
                needs=Resources(
                    self.random.choice((500, 1000, 2000, 3500, 3900)),
                    self.random.choice((500, 2000, 4000, 7000, 7900)),
                ),
                estimate=behaviour.seconds,
                after=(number - 1,) if number else (),
                most_per_worker=self.random.choice((0, 0, 0, 1)),
            )
            for number in range(self.random.randint(1, 3))
        )
        return steps, behaviour


def find_idle_jobs(seed: int) -> list[str]:
    """Return the jobs that wait too long in the calm after a seeded run."""

    async def main() -> list[str]:
        cluster = JobCluster(
            seed=seed,
            instances=4,
            workers=8,
            others=5,
            standby=3,
            has_other_queue=True,
            accepted_lease_seconds=ACCEPTED_LEASE_SECONDS,
        )
        watch = IdleJobWatch(cluster, LIMIT)
        try:
            cluster.write_fleet(2, LIMIT)
            await cluster.start()
            await LargeStepFaults(cluster, Random(seed)).run()
            await watch.watch(CALM_SECONDS)
        finally:
            for instance in cluster.instances:
                await instance.kill()
        return watch.find_idle_jobs()

    return run_virtual(main())


class IdleJobProof(unittest.TestCase):
    def test_no_accepted_job_waits_with_room_after_mixed_faults(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(find_idle_jobs(seed), [])


if __name__ == "__main__":
    first, last = map(int, sys.argv[1:3])
    for number in range(first, last + 1):
        idle = find_idle_jobs(number)
        print(number, len(idle), *(line[:1200] for line in idle), flush=True)
