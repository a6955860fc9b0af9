"""Runs the job core under random faults in virtual time.

Guards against lost and repeated jobs, overloaded workers, starts after a cancellation
and false reports that a refused job did not run.
"""

import unittest
from random import Random

from jujubebarrow.tests.fakes.fault_injectors import FaultInjector
from jujubebarrow.tests.fakes.job_clusters import LINK_MBPS, JobCluster
from jujubebarrow.tests.fakes.virtual_loops import run_virtual

CI_SEEDS = range(1, 21)
REGRESSION_SEEDS = (
    # The owner considered the lease of a worker expired without a request to the
    # worker, although the worker was reachable again.
    9,
    10,
    # A later incarnation of the worker executed an unacknowledged start, after another
    # attempt had been acknowledged and the run had finished.
    75,
    103,
    # The same as with 75 and 103, but the job was cancelled while the start was in
    # transit.
    116,
    # A restarted worker executed and acknowledged a start that was sent before the
    # restart was known.
    68,
    130,
    # No owner could record some finished runs before the worker's lease expired. In
    # that case, the workers' contract allows the task to run again; the check skips
    # the runs whose has_lease_lapsed is set.
    16,
    63,
    83,
)


SMALL_LINK_MBPS = 0.064
"""Carries about 20 starts a second, without the lease renewals."""


def simulate(seed: int, link_mbps: float = LINK_MBPS) -> list[str]:
    async def main() -> list[str]:
        random = Random(seed)
        cluster = JobCluster(
            seed=seed, instances=3, workers=3, standby=1, link_mbps=link_mbps
        )
        injector = FaultInjector(cluster, random)
        try:
            await cluster.start()
            await injector.run()
            unfinished = await injector.find_unfinished()
        finally:
            for instance in cluster.instances:
                await instance.kill()
        failed_tasks = [
            str(line)
            for log in cluster.logs
            for line in log.lines
            if line["event"] == "task_failed"
        ]
        false_refusals = injector.find_false_refusals()
        return [*cluster.find_violations(), *unfinished, *false_refusals, *failed_tasks]

    return run_virtual(main())


class JobCoreProof(unittest.TestCase):
    def test_random_faults(self) -> None:
        for seed in sorted({*CI_SEEDS, *REGRESSION_SEEDS}):
            with self.subTest(seed=seed):
                self.assertEqual(simulate(seed), [])

    def test_random_faults_with_small_links(self) -> None:
        for seed in CI_SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(simulate(seed, SMALL_LINK_MBPS), [])
