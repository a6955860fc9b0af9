"""Log lines that tell what a caller was promised."""

import unittest
from typing import Any
from unittest import mock

from msgspec import json

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.logs import event_logs
from jujubebarrow.logs.event_logs import BURST_LINES, EventLog
from jujubebarrow.metrics.registries import MetricsRegistry


class StoppedClock(Clock):
    def monotonic(self) -> float:
        return 100.0

    def wall(self) -> float:
        return 100.0


class PromiseLineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.metrics = MetricsRegistry()
        self.log = EventLog(StoppedClock(), self.metrics)
        self.lines: list[dict[str, Any]] = []
        patcher = mock.patch.object(event_logs, "logger")
        patcher.start().info = lambda text: self.lines.append(json.decode(text))
        self.addCleanup(patcher.stop)

    def test_other_lines_do_not_displace_the_line_of_a_promise(self) -> None:
        for _ in range(int(BURST_LINES) * 2):
            self.log.write("start_unconfirmed")
        self.log.write("job_accepted", job="j")
        self.assertEqual(self.lines[-1], {"event": "job_accepted", "job": "j"})

    def test_lines_of_promises_are_limited_as_well(self) -> None:
        for _ in range(int(BURST_LINES) * 2):
            self.log.write("job_accepted")
        self.assertEqual(len(self.lines), BURST_LINES)
        self.assertEqual(self.metrics.value("log_dropped", "job_accepted"), BURST_LINES)
