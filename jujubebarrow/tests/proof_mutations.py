"""Mutation tests: each check must detect a fault injected into the checked mechanism.

Guards against checks that pass although the mechanism that they check does not work.
"""

import unittest

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

from jujubebarrow.tests.fakes.cluster_runs import ClusterRun
from jujubebarrow.tests.fakes.mutations import (
    FRESHNESS_MUTATIONS,
    LIMIT_MUTATIONS,
    MAINTENANCE_MUTATIONS,
    SYSTEM_MUTATIONS,
    Mutation,
)
from jujubebarrow.tests.proof_freshness import FreshnessMachine
from jujubebarrow.tests.proof_limits import LimitMachine
from jujubebarrow.tests.proof_maintenance import MaintenanceMachine

SEED_COUNT = 6
SEARCH_SETTINGS = settings(
    max_examples=2000,
    stateful_step_count=60,
    derandomize=True,
    database=None,
    deadline=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)


class MutationProof(unittest.TestCase):
    def check_machine(
        self, machine: type[RuleBasedStateMachine], mutations: tuple[Mutation, ...]
    ) -> None:
        for mutation in mutations:
            with self.subTest(mutation.name), mutation.make_patch():
                with self.assertRaises(Exception):  # noqa: B017
                    run_state_machine_as_test(machine, settings=SEARCH_SETTINGS)

    def test_limits(self) -> None:
        self.check_machine(LimitMachine, LIMIT_MUTATIONS)

    def test_freshness(self) -> None:
        self.check_machine(FreshnessMachine, FRESHNESS_MUTATIONS)

    def test_maintenance(self) -> None:
        self.check_machine(MaintenanceMachine, MAINTENANCE_MUTATIONS)

    def test_system(self) -> None:
        for mutation in SYSTEM_MUTATIONS:
            with self.subTest(mutation.name), mutation.make_patch():
                self.assertTrue(self.is_detected(mutation), mutation.name)

    def is_detected(self, mutation: Mutation) -> bool:
        for seed in range(SEED_COUNT):
            run = ClusterRun(seed, list(mutation.faults), mutation.run_time).run()
            if any(
                mutation.expected in text for text in run.cluster.collect_violations()
            ):
                return True
        return False
