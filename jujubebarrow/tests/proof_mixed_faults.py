"""Runs the job core with jobs of all kinds and all faults at the same time.

Guards against tasks that run twice, overloaded workers and misplaced tasks when orders
that are executed late, restarts, drains, maintenance, owners that are killed, frozen or
cut off, and failures of the store come together.
"""

import unittest
from random import Random

from jujubebarrow.tests.fakes.job_clusters import JobCluster
from jujubebarrow.tests.fakes.mixed_faults import MixedFaults
from jujubebarrow.tests.fakes.virtual_loops import run_virtual

SEEDS = (2, 3, 13, 20, 25, 27, 30, 43, 220)
OPEN_SEEDS = (1, 32, 58, 261)
"""Seeds in which a gang started again after its acknowledged end."""
ACCEPTED_LEASE_SECONDS = 10.0
"""Longer than the leases that owners issue."""


def run_cluster(seed: int, postpones_leases: bool = False) -> JobCluster:
    """Return the cluster after a seeded run.

    Args:
        seed: Seed of all random choices.
        postpones_leases: Whether the lease of an order that is executed late has its
            full length from then on.
    """

    async def main() -> JobCluster:
        cluster = JobCluster(
            seed=seed,
            instances=4,
            workers=8,
            others=5,
            has_other_queue=True,
            accepted_lease_seconds=ACCEPTED_LEASE_SECONDS,
        )
        injector = MixedFaults(cluster, Random(seed), postpones_leases)
        try:
            await cluster.start()
            await injector.run()
        finally:
            for instance in cluster.instances:
                await instance.kill()
        return cluster

    return run_virtual(main())


class MixedFaultProof(unittest.TestCase):
    def test_mixed_faults_repeat_or_misplace_no_task(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cluster = run_cluster(seed)
                self.assertEqual(cluster.find_violations(), [])
                self.assertEqual(cluster.find_runs_of_cancelled_jobs(), [])

    def test_mixed_faults_repeat_no_gang_in_open_seeds(self) -> None:
        for seed in OPEN_SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(run_cluster(seed).find_violations(), [])
