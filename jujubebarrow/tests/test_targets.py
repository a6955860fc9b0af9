"""The shipped scheduling policy meets its targets in simulations with a fixed seed.

The targets bound the distance of teams from their entitlements, the number of unused
slots, the duration of a maintenance wave, the number of instance moves and the fraction
of its entitlement that the worst-served team gets.
"""

import unittest
from functools import cache

from jujubebarrow.benches.demands import HANBIT, KORO, DemandShape
from jujubebarrow.benches.experiments import LOAD_SECONDS, WAVE_SECONDS, measure_shares
from jujubebarrow.benches.policies import NO_HYSTERESIS, SHIPPED, STATIC, Policy
from jujubebarrow.benches.simulations import Simulation

SEED = 1
MAX_DISTANCE_RATIO = 0.25
MAX_WAVE_DURATION_RATIO = 0.5
MIN_WORST_TEAM_RATIO = 0.9


@cache
def simulate(shape: DemandShape, policy: Policy, has_wave: bool = False) -> Simulation:
    seconds = WAVE_SECONDS if has_wave else LOAD_SECONDS
    return Simulation(shape, policy, SEED, has_wave).run(seconds)


class PolicyTargetTest(unittest.TestCase):
    def test_hanbit_distance_to_share(self) -> None:
        static = simulate(HANBIT, STATIC)
        shipped = simulate(HANBIT, SHIPPED)
        self.assertLessEqual(
            measure_shares(shipped)[0], MAX_DISTANCE_RATIO * measure_shares(static)[0]
        )
        self.assertLessEqual(shipped.idle_slot_seconds, static.idle_slot_seconds)

    def test_koro_maintenance_wave_duration(self) -> None:
        static = simulate(KORO, STATIC, has_wave=True).wave_duration
        shipped = simulate(KORO, SHIPPED, has_wave=True).wave_duration
        assert static is not None and shipped is not None
        self.assertLessEqual(shipped, MAX_WAVE_DURATION_RATIO * static)

    def test_koro_moves_fewer_than_without_hysteresis(self) -> None:
        self.assertLess(
            simulate(KORO, SHIPPED).moves, simulate(KORO, NO_HYSTERESIS).moves
        )

    def test_hanbit_worst_team(self) -> None:
        worst = measure_shares(simulate(HANBIT, SHIPPED))[1]
        self.assertGreaterEqual(worst, MIN_WORST_TEAM_RATIO)

    def test_koro_worst_team(self) -> None:
        worst = measure_shares(simulate(KORO, SHIPPED))[1]
        self.assertGreaterEqual(worst, MIN_WORST_TEAM_RATIO)
