"""Runs the job core with late orders that extend a lease by its full length.

Guards against tasks that run twice when a worker executes an order seconds late and its
lease ends later than the deadline of the order.
"""

import unittest

from jujubebarrow.tests.proof_late_orders import simulate
from jujubebarrow.tests.proof_mixed_faults import run_cluster

SEEDS = (2, 5, 6, 10, 28)
MIXED_SEEDS = (4, 7, 110, 115, 119)


class PostponedLeaseProof(unittest.TestCase):
    def test_late_renewals_let_no_task_of_a_silent_worker_run_twice(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(simulate(seed, postpones_leases=True), [])

    def test_late_renewals_and_mixed_faults_let_no_task_run_twice(self) -> None:
        for seed in MIXED_SEEDS:
            with self.subTest(seed=seed):
                cluster = run_cluster(seed, postpones_leases=True)
                self.assertEqual(cluster.find_repeated_runs(), [])
