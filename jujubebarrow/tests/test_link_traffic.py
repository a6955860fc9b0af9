"""Traffic on an instance's link by kind.

Guards against an incident whose cause the logs don't show: an owner that sends more
than its link carries.
"""

import unittest

from jujubebarrow.links.link_meters import LinkMeter
from jujubebarrow.links.traffic_kinds import TrafficKind
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.tests.fakes.fake_documents import ListLog

LINK_MBPS = 2.0
BYTES_PER_SECOND = 250_000


class LinkMeterTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.log = ListLog("n1")
        self.metrics = MetricsRegistry()
        self.meter = LinkMeter(LINK_MBPS, self.log, self.metrics)

    async def test_loaded_period_is_logged_by_kind(self) -> None:
        for _ in range(100):
            self.meter.record_call(TrafficKind.START, 1200, 20, True)
        self.meter.record_call(TrafficKind.RENEWAL, 60, 400)
        self.meter.end_period()
        (line,) = self.log.lines
        self.assertEqual(line["event"], "link_traffic")
        self.assertEqual(line["calls"], {"start": 100, "renewal": 1})
        self.assertEqual(line["connections"], {"start": 100})
        self.assertGreater(line["sent_load"], 100 * 1200 / BYTES_PER_SECOND)
        self.assertEqual(self.metrics.value("link_calls", "start"), 100)
        self.assertGreater(self.metrics.value("link_sent_bytes", "start"), 120_000)

    async def test_period_with_little_traffic_is_counted_and_not_logged(self) -> None:
        self.meter.record_call(TrafficKind.START, 1200, 20)
        self.meter.end_period()
        self.meter.end_period()
        self.assertEqual(self.log.lines, [])
        self.assertEqual(self.metrics.value("link_calls", "start"), 1)
