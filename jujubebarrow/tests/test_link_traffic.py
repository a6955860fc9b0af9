"""Traffic on an instance's link by kind.

Guards against an incident whose cause the logs don't show: an owner that sends more
than its link carries.
"""

import unittest

from jujubebarrow.clocks.system_clocks import SystemClock
from jujubebarrow.links.link_backlogs import LinkBacklog
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
        backlog = LinkBacklog(LINK_MBPS, SystemClock())
        self.meter = LinkMeter(LINK_MBPS, backlog, self.log, self.metrics)

    def _record_call(
        self, kind: TrafficKind, sent: int, received: int, is_new: bool = False
    ) -> None:
        self.meter.record_sent(kind, sent)
        self.meter.record_received(kind, received)
        self.meter.record_call(kind, is_new)

    async def test_loaded_period_is_logged_by_kind(self) -> None:
        for _ in range(100):
            self._record_call(TrafficKind.START, 1200, 20, True)
        self._record_call(TrafficKind.RENEWAL, 60, 400)
        self.meter.end_period()
        (line,) = self.log.lines
        self.assertEqual(line["event"], "link_traffic")
        self.assertEqual(line["calls"], {"start": 100, "renewal": 1})
        self.assertEqual(line["connections"], {"start": 100})
        self.assertGreater(line["sent_load"], 100 * 1200 / BYTES_PER_SECOND)
        self.assertEqual(self.metrics.value("link_calls", "start"), 100)
        self.assertGreater(self.metrics.value("link_sent_bytes", "start"), 120_000)

    async def test_period_with_little_traffic_is_counted_and_not_logged(self) -> None:
        self._record_call(TrafficKind.START, 1200, 20)
        self.meter.end_period()
        self.meter.end_period()
        self.assertEqual(self.log.lines, [])
        self.assertEqual(self.metrics.value("link_calls", "start"), 1)
