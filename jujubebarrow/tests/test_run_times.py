import unittest

from jujubebarrow.shares.run_times import RunTimeEstimate


class RunTimeTest(unittest.TestCase):
    def test_configured_run_time_far_too_short(self) -> None:
        """Timeouts grow until an attempt can finish, then the estimate converges."""
        estimate = RunTimeEstimate(0.1)
        for _ in range(20):
            estimate.observe(0.1)
        actual, attempts = 9.0, 0
        while estimate.attempt_timeout(60.0) < actual:
            estimate.observe_timeout()
            attempts += 1
        self.assertLessEqual(attempts, 4)
        for _ in range(50):
            estimate.observe(actual)
        self.assertAlmostEqual(estimate.seconds, actual, delta=0.1)

    def test_configured_run_time_far_too_long(self) -> None:
        estimate = RunTimeEstimate(100.0)
        estimate.observe(0.1)
        self.assertAlmostEqual(estimate.seconds, 0.1)

    def test_unknown_run_time_leaves_time_for_a_second_attempt(self) -> None:
        estimate = RunTimeEstimate(0.1)
        self.assertEqual(estimate.attempt_timeout(10.0), 5.0)
        self.assertEqual(estimate.attempt_timeout(0.5), 0.5)
