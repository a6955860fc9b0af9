"""The stated targets of the policy, in virtual time with a fixed seed."""

import unittest
from functools import cache

from jujubebarrow.benches.demands import HANBIT, KORO, DemandShape
from jujubebarrow.benches.experiments import SECONDS, WAVE_SECONDS, measure_shares
from jujubebarrow.benches.policies import RESTLESS, SHIPPED, STATIC, Policy
from jujubebarrow.benches.simulations import Simulation

SEED = 1
DISTANCE_PART = 0.25
ROLL_OUT_PART = 0.5
WORST_PART = 0.9


@cache
def simulate(shape: DemandShape, policy: Policy, maintain: bool = False) -> Simulation:
    seconds = WAVE_SECONDS if maintain else SECONDS
    return Simulation(shape, policy, SEED, maintain).run(seconds)


class PolicyTargetTest(unittest.TestCase):
    def test_hanbit_distance_to_share(self) -> None:
        static = simulate(HANBIT, STATIC)
        shipped = simulate(HANBIT, SHIPPED)
        self.assertLessEqual(
            measure_shares(shipped)[0], DISTANCE_PART * measure_shares(static)[0]
        )
        self.assertLessEqual(shipped.idle_slot_seconds, static.idle_slot_seconds)

    def test_koro_roll_out(self) -> None:
        static = simulate(KORO, STATIC, maintain=True).wave_end
        shipped = simulate(KORO, SHIPPED, maintain=True).wave_end
        assert static is not None and shipped is not None
        self.assertLessEqual(shipped, ROLL_OUT_PART * static)

    def test_koro_moves(self) -> None:
        self.assertLess(simulate(KORO, SHIPPED).moves, simulate(KORO, RESTLESS).moves)

    def test_hanbit_worst_team(self) -> None:
        worst = measure_shares(simulate(HANBIT, SHIPPED))[1]
        self.assertGreaterEqual(worst, WORST_PART)

    def test_koro_worst_team(self) -> None:
        worst = measure_shares(simulate(KORO, SHIPPED))[1]
        self.assertGreaterEqual(worst, WORST_PART)
