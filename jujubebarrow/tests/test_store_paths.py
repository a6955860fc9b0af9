"""Choice between the direct path to the store and relays."""

import unittest
from random import Random

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.stores.direct_paths import SUCCESS_COUNT, DirectPath
from jujubebarrow.stores.relay_selectors import RelaySelector


class ManualClock(Clock):
    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now


class DirectPathTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.path = DirectPath(self.clock)

    def test_call_sent_before_the_failure_does_not_restore_the_path(self) -> None:
        sent_at = self.clock.now
        self.clock.now += 0.1
        self.assertTrue(self.path.record_failure())
        self.clock.now += 0.1
        self.assertFalse(self.path.record_success(sent_at))
        self.assertTrue(self.path.is_down)

    def test_path_that_loses_most_calls_is_not_restored_by_each_success(self) -> None:
        for _ in range(5):
            self.path.record_failure()
            for _ in range(SUCCESS_COUNT):
                self.assertTrue(self.path.is_down)
                self.clock.now += 1.0
                self.path.record_success(self.clock.now)
            self.assertFalse(self.path.is_down)

    def test_failure_between_successes_keeps_the_path_down(self) -> None:
        self.path.record_failure()
        for _ in range(SUCCESS_COUNT):
            for _ in range(SUCCESS_COUNT - 1):
                self.clock.now += 1.0
                self.path.record_success(self.clock.now)
            self.clock.now += 1.0
            self.path.record_failure()
        self.assertTrue(self.path.is_down)

    def test_path_is_restored_soon_after_the_first_probe_that_succeeds(self) -> None:
        self.path.record_failure()
        failed_at = self.clock.now
        while self.path.is_down:
            self.clock.now += 0.05
            if self.path.is_probe_due:
                self.path.record_success(self.clock.now)
        self.assertLess(self.clock.now - failed_at, 2.0)


class RelaySelectorTest(unittest.TestCase):
    def test_relay_that_keeps_failing_is_left_out_ever_longer(self) -> None:
        clock = ManualClock()
        selector = RelaySelector(Random(1), clock)
        pauses = []
        for _ in range(3):
            selector.record_failure("a")
            failed_at = clock.now
            while not selector.choose(["a"], 1):
                clock.now += 0.5
            pauses.append(clock.now - failed_at)
        self.assertEqual(pauses, [1.0, 2.0, 4.0])

    def test_relay_that_fails_thousands_of_calls_can_be_used_again(self) -> None:
        clock = ManualClock()
        selector = RelaySelector(Random(1), clock)
        for _ in range(2000):
            selector.record_failure("a")
        clock.now += 8.0
        self.assertEqual(selector.choose(["a"], 1), ["a"])

    def test_relayed_calls_are_spread_over_several_instances(self) -> None:
        selector = RelaySelector(Random(1), ManualClock())
        addresses = [f"n{number}" for number in range(40)]
        chosen = []
        for _ in range(400):
            chosen.append(selector.choose(addresses, 1)[0])
            selector.record_success(chosen[-1])
        most = max(chosen.count(address) for address in addresses)
        self.assertLess(most, len(chosen) / 4)
