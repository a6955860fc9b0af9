import unittest

from jujubebarrow.shares.run_times import RunTimeEstimate


class RunTimeTest(unittest.TestCase):
    def test_declared_far_too_short(self) -> None:
        """Attempts become longer until the work fits, and it is learned."""
        estimate = RunTimeEstimate(0.1)
        for _ in range(20):
            estimate.observe(0.1)
        real, attempts = 9.0, 0
        while estimate.attempt_timeout(60.0) < real:
            estimate.observe_timeout()
            attempts += 1
        self.assertLessEqual(attempts, 4)
        for _ in range(50):
            estimate.observe(real)
        self.assertAlmostEqual(estimate.seconds, real, delta=0.1)

    def test_declared_far_too_long(self) -> None:
        estimate = RunTimeEstimate(100.0)
        estimate.observe(0.1)
        self.assertAlmostEqual(estimate.seconds, 0.1)

    def test_unknown_run_time_leaves_time_for_a_second_attempt(self) -> None:
        estimate = RunTimeEstimate(0.1)
        self.assertEqual(estimate.attempt_timeout(10.0), 5.0)
        self.assertEqual(estimate.attempt_timeout(0.5), 0.5)
