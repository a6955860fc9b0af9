"""Losses of service by cause, computed from made-up lines of a day's log.

The tests guard against losses that are put down to the wrong cause.
"""

import unittest
from collections import Counter
from typing import Any

from msgspec import json

from jujubebarrow.benches.day_logs import DayLogReader
from jujubebarrow.benches.service_losses import (
    LossCause,
    LossTable,
    format_report,
    split_losses,
)

LOAD = {"backlog": 0, "reserved": 0, "movable": 0, "incoming": 0, "leaving": 0}


def make_line(at: float, writer: str, event: str, **fields: Any) -> str:
    return f"{at:.4f} {writer} {json.encode({'event': event, **fields}).decode()}"


def make_load(at: float, instance: str, pool: str, **fields: Any) -> str:
    return make_line(at, instance, "pool_load", pool=pool, **(LOAD | fields))


def take_over(at: float, instance: str, pool: str) -> str:
    return make_line(at, instance, "pool_taken_over", pool=pool, token=1)


def sum_losses(lines: list[str], pool: str) -> Counter[LossCause]:
    total = Counter[LossCause]()
    for pools in LossTable(DayLogReader().read(lines)).list_seconds():
        total.update(split_losses(pools)[pool])
    return total


class ServiceLossesTest(unittest.TestCase):
    def test_missing_cores_count_as_late_while_other_pools_have_free_cores(
        self,
    ) -> None:
        lines = [
            "  not a line of the log",
            take_over(-9.5, "a-1", "p"),
            take_over(0.0, "a-2", "q"),
            make_load(0.5, "a-1", "p", demand=50000, capacity=20000, machines=2),
            make_load(0.5, "a-2", "q", demand=0, capacity=20000, machines=2),
        ]
        losses = sum_losses(lines, "p")
        self.assertAlmostEqual(losses[LossCause.MACHINES_LATE], 20.0)
        self.assertAlmostEqual(losses[LossCause.OVERLOAD], 10.0)
        self.assertEqual(losses[LossCause.NO_OWNER], 0.0)

    def test_ordered_machines_count_as_moving_until_they_have_arrived(self) -> None:
        moved = make_line(
            0.7, "a-2", "machine_moved", source="q", target="p", answer="done"
        )
        lines = [
            take_over(0.0, "a-1", "p"),
            make_load(0.5, "a-1", "p", demand=50000, capacity=20000, machines=2),
            moved,
        ]
        losses = sum_losses(lines, "p")
        self.assertAlmostEqual(losses[LossCause.MACHINES_MOVING], 10.0)
        self.assertAlmostEqual(losses[LossCause.OVERLOAD], 20.0)

    def test_free_cores_of_a_pool_without_owner_do_not_count_as_late(self) -> None:
        lines = [
            take_over(0.0, "a-1", "p"),
            take_over(0.0, "a-2", "q"),
            make_load(0.1, "a-2", "q", demand=0, capacity=90000, machines=9),
            make_line(0.2, "a-2", "duty_dropped", duty="q", reason="lease over"),
            make_load(0.5, "a-1", "p", demand=50000, capacity=20000, machines=2),
        ]
        losses = sum_losses(lines, "p")
        self.assertAlmostEqual(losses[LossCause.GIVER_WITHOUT_OWNER], 30.0)
        self.assertEqual(losses[LossCause.MACHINES_LATE], 0.0)

    def test_machines_that_work_on_late_jobs_elsewhere_do_not_count_as_overload(
        self,
    ) -> None:
        late = {"demand": 5000, "backlog": 60000, "reserved": 20000}
        lines = [
            take_over(0.0, "a-1", "p"),
            take_over(0.0, "a-2", "q"),
            make_load(0.5, "a-1", "p", demand=50000, capacity=20000, machines=2),
            make_load(0.5, "a-2", "q", capacity=20000, machines=2, **late),
        ]
        losses = sum_losses(lines, "p")
        self.assertAlmostEqual(losses[LossCause.LATE_WORK], 15.0)
        self.assertAlmostEqual(losses[LossCause.OVERLOAD], 15.0)

    def test_owner_that_reports_no_load_of_waiting_jobs_does_not_pass_for_idle(
        self,
    ) -> None:
        lines = [
            take_over(0.0, "a-1", "p"),
            make_load(0.1, "a-1", "p", demand=0, capacity=20000, machines=2),
            make_line(0.9, "a-1", "job_accepted", job="j", pool="p"),
            make_line(3.9, "a-1", "runs_recorded", job="j", age=3.0, runs=[]),
        ]
        self.assertAlmostEqual(sum_losses(lines, "p")[LossCause.NO_REPORT], 2.0)

    def test_pool_is_without_owner_from_the_end_of_a_process_to_the_next_load(
        self,
    ) -> None:
        lines = [
            take_over(0.0, "a-1", "p"),
            make_line(0.5, "a-1", "job_accepted", job="j", pool="p"),
            make_line(3.0, "a-1", "started", instance="a-1"),
            make_line(4.0, "a-2", "duty_claimed", duty="p", silence=3.4),
            take_over(4.5, "a-2", "p"),
            make_line(4.9, "a-2", "runs_recorded", job="j", age=4.4, runs=[]),
        ]
        self.assertAlmostEqual(sum_losses(lines, "p")[LossCause.NO_OWNER], 4.0)

    def test_free_cores_beside_waiting_work_count_as_unused(self) -> None:
        lines = [
            take_over(0.0, "a-1", "p"),
            make_load(
                0.5,
                "a-1",
                "p",
                demand=15000,
                backlog=18000,
                capacity=20000,
                reserved=5000,
                machines=2,
            ),
        ]
        losses = sum_losses(lines, "p")
        self.assertAlmostEqual(losses[LossCause.FREE_CAPACITY], 13.0)
        report = "\n".join(format_report(DayLogReader().read(lines)))
        self.assertIn("free_unused", report)
