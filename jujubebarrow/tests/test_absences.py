"""Absence of instances from the platform's list."""

import unittest

from jujubebarrow.clocks.manual_clocks import ManualClock
from jujubebarrow.members.absences import AbsenceTracker
from jujubebarrow.stores.instance_lists import InstanceList

TERMINATED_AFTER_SECONDS = 10.0


class UnreadInstanceListTest(unittest.TestCase):
    def test_time_without_a_poll_does_not_count_as_absence_of_an_instance(self) -> None:
        clock = ManualClock()
        tracker = AbsenceTracker(clock, TERMINATED_AFTER_SECONDS)
        tracker.track("e1")
        tracker.update(InstanceList(instances={}))
        clock.advance(TERMINATED_AFTER_SECONDS)
        self.assertFalse(tracker.is_terminated("e1"))
