"""Runs the job core under random faults in virtual time."""

import unittest
from random import Random

from jujubebarrow.tests.fakes.fault_injectors import FaultInjector
from jujubebarrow.tests.fakes.job_clusters import JobCluster
from jujubebarrow.tests.fakes.virtual_loops import run_virtual

CI_SEEDS = range(1, 21)
REGRESSION_SEEDS = (
    # The owner took the lease of a worker as expired without a request to the worker,
    # although the worker was reachable again.
    9,
    10,
    # A later incarnation of the worker executed an unacknowledged start, after another
    # attempt had been acknowledged and the run had finished.
    75,
    103,
    # A later incarnation of the worker executed an unacknowledged start, and the job
    # was cancelled while the start was in transit.
    116,
    # No owner could record some finished runs before the worker's lease expired. The
    # workers' contract allows a repeated run then; the check skips these runs by the
    # worker's own record.
    16,
    63,
    83,
)


def simulate(seed: int) -> list[str]:
    async def main() -> list[str]:
        random = Random(seed)
        cluster = JobCluster(seed=seed, instances=3, workers=3, standby=1)
        injector = FaultInjector(cluster, random)
        try:
            await cluster.start()
            await injector.run()
            unfinished = await injector.find_unfinished()
        finally:
            for instance in cluster.instances:
                await instance.kill()
        failed = [
            str(line)
            for log in cluster.logs
            for line in log.lines
            if line["event"] == "task_failed"
        ]
        false_refusals = injector.find_false_refusals()
        return [*cluster.find_violations(), *unfinished, *false_refusals, *failed]

    return run_virtual(main())


class JobCoreProof(unittest.TestCase):
    def test_random_faults(self) -> None:
        for seed in sorted({*CI_SEEDS, *REGRESSION_SEEDS}):
            with self.subTest(seed=seed):
                self.assertEqual(simulate(seed), [])
