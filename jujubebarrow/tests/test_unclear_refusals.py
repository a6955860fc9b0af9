"""Failures of transactions that may have been sent, and count as not applied."""

import unittest

from jujubebarrow.clocks.boot_clocks import BootClock
from jujubebarrow.errors.exceptions import StoreError
from jujubebarrow.links.link_backlogs import LinkBacklog
from jujubebarrow.links.link_meters import LinkMeter
from jujubebarrow.logs.event_logs import EventLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.platform.stores import PlatformStore
from jujubebarrow.stores.read_throttles import ReadThrottle
from jujubebarrow.stores.relay_messages import encode_call, encode_commit, execute_call
from jujubebarrow.stores.transactions import ABSENT_REVISION, Transaction
from jujubebarrow.tests.fakes.resetting_servers import ResettingServer

LINK_MBPS = 100.0
JOB = Transaction(
    conditions={"jobs/q/0123456789abcdef": ABSENT_REVISION},
    writes={"jobs/q/0123456789abcdef": {}},
    nonce="n",
)


class FailingStore:
    """Fails after it has sent a transaction."""

    async def try_commit(self, transaction: Transaction) -> None:
        raise KeyError("Ver")


class UnclearRefusalTest(unittest.IsolatedAsyncioTestCase):
    async def test_error_after_a_relayed_transaction_is_not_an_unreadable_call(
        self,
    ) -> None:
        # An unreadable call is answered 400, which tells that nothing was sent.
        with self.assertRaises(KeyError):
            await execute_call(encode_commit(JOB), FailingStore())  # type: ignore[arg-type]

    async def test_unreadable_relayed_calls_are_still_told(self) -> None:
        for call in (
            encode_call("commit"),
            encode_call("commit", transaction={"writes": 1}),
            encode_call("page", prefix="p"),
            encode_call("mystery"),
        ):
            with self.subTest(call=call), self.assertRaises(ValueError):
                await execute_call(call, FailingStore())  # type: ignore[arg-type]

    async def test_status_that_the_store_does_not_define_leaves_a_commit_unknown(
        self,
    ) -> None:
        server = ResettingServer(lambda request: (404, b""))
        self.addAsyncCleanup(server.close)
        metrics, clock = MetricsRegistry(), BootClock()
        backlog = LinkBacklog(LINK_MBPS, clock)
        meter = LinkMeter(LINK_MBPS, backlog, EventLog(clock, metrics), metrics)
        throttle = ReadThrottle(LINK_MBPS, metrics)
        store = PlatformStore(await server.open(), throttle, meter, metrics)
        self.addCleanup(store.close)
        with self.assertRaises(StoreError) as caught:
            await store.commit(JOB)
        self.assertTrue(caught.exception.may_have_applied)
