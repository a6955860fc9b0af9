"""Runs the job core with late orders and a team that is limited over two pools.

Guards against starts that bring a team above its upper limit by more than the
platform's rules permit, as the workers' own records show it.
"""

import unittest
from collections.abc import Iterable
from dataclasses import replace
from random import Random

from jujubebarrow.tests.fakes.job_clusters import JobCluster
from jujubebarrow.tests.fakes.late_order_faults import (
    LARGE_TASK_LOAD,
    LateOrderFaults,
)
from jujubebarrow.tests.fakes.limit_audits import LimitAudit
from jujubebarrow.tests.fakes.virtual_loops import run_virtual
from jujubebarrow.workloads.resources import Resources

LIMIT = Resources(9000, 0)
LOAD = replace(
    LARGE_TASK_LOAD,
    cores=(1.0, 1.0, 1.0, 8.0),
    gigabytes=(1.0,),
    seconds=(0.5, 4.0),
    counts=(1, 2),
)
"""Mostly small tasks of a team, and some that need most of its limit."""
SEEDS = (7, 26)
KILL_SEEDS = (1, 2, 3)
ACCEPTED_LEASE_SECONDS = 10.0
"""Longer than the leases that owners issue."""


def run_cluster(seed: int, kills_owners: bool) -> JobCluster:
    """Return the cluster after a seeded run.

    Args:
        seed: Seed of all random choices.
        kills_owners: Whether owners are killed as well.
    """

    async def main() -> JobCluster:
        cluster = JobCluster(
            seed=seed,
            workers=5,
            others=3,
            has_other_queue=True,
            accepted_lease_seconds=ACCEPTED_LEASE_SECONDS,
        )
        cluster.write_fleet(2, LIMIT)
        injector = LateOrderFaults(
            cluster, Random(seed), kills_owners=kills_owners, load=LOAD
        )
        try:
            await cluster.start()
            await injector.run()
        finally:
            for instance in cluster.instances:
                await instance.kill()
        return cluster

    return run_virtual(main())


class TeamLimitProof(unittest.TestCase):
    def test_late_orders_exceed_no_limit_of_a_team(self) -> None:
        self._check_limit(SEEDS, kills_owners=False)

    def test_late_orders_and_killed_owners_exceed_no_limit_of_a_team(self) -> None:
        self._check_limit(KILL_SEEDS, kills_owners=True)

    def _check_limit(self, seeds: Iterable[int], kills_owners: bool) -> None:
        large_count = 0
        for seed in seeds:
            with self.subTest(seed=seed):
                audit = LimitAudit(run_cluster(seed, kills_owners), LIMIT)
                self.assertEqual(audit.find_violations(), [])
                large_count += audit.count_large_starts()
        # Without such starts the runs would show little.
        self.assertGreater(large_count, 0)
