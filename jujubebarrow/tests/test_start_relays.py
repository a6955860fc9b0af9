"""Start orders that instances relay for each other over HTTP.

Guards against orders that are changed, lost or reported as sent on their way.
"""

import unittest
from asyncio import get_running_loop, sleep
from contextlib import AsyncExitStack
from dataclasses import replace
from random import Random

from jujubebarrow.clocks.system_clocks import SystemClock
from jujubebarrow.coordinators.order_results import OrderOutcome, OrderResult
from jujubebarrow.coordinators.orders import (
    RenewalOrder,
    StartOrder,
    StopOrder,
    ThrottleOrder,
)
from jujubebarrow.gateways.start_executors import (
    OCCUPIED_WAIT_SECONDS,
    SENDING_LIMIT_SECONDS,
    StartExecutor,
)
from jujubebarrow.gateways.start_relays import StartsNotRelayedError
from jujubebarrow.gateways.worker_gateways import WorkerGateway
from jujubebarrow.identifiers import JobId
from jujubebarrow.links.link_backlogs import LinkBacklog
from jujubebarrow.links.link_meters import LinkMeter
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.standins.ports import LOOPBACK, find_ports
from jujubebarrow.stores.relay_selectors import RelaySelector
from jujubebarrow.tests.fakes.fake_documents import ListLog
from jujubebarrow.transports.http_clients import HttpClient
from jujubebarrow.transports.http_servers import HttpListener
from jujubebarrow.transports.http_start_relays import (
    STARTS_PATH,
    HttpStartRelay,
    StartRelayHandler,
)
from jujubebarrow.transports.path_handlers import PathHandler
from jujubebarrow.workloads.identifiers import FenceToken, RunNumber, WorkerId
from jujubebarrow.workloads.task_keys import TaskKey
from jujubebarrow.workloads.worker_reports import RenewalReport

LINK_MBPS = 2.0
BODY_LIMIT_BYTES = 1_000_000
SILENCE_SECONDS = 0.35
ORDER = StartOrder(
    worker=WorkerId("w1"),
    address="10.0.0.1:7000",
    task=TaskKey(JobId("5c0e7a21d94b36f8"), 2, 1, 17),
    run=RunNumber(3),
    payload="größe" * 40,
    deadline=486.25,
    token=FenceToken(7),
    checkpoint="00000bb87a21d94b",
    ticket="t-9",
)
ORDERS = [
    ORDER,
    replace(
        ORDER, worker=WorkerId("w2"), token=FenceToken(8), checkpoint="", ticket=""
    ),
    replace(ORDER, task=TaskKey(JobId("5c0e7a21d94b36f8"), 2, 1, 18)),
]
RESULTS = {
    17: OrderResult(OrderOutcome.ACCEPTED, 482.125),
    18: OrderResult(OrderOutcome.FENCED, 482.5, "status 409 fence"),
}


class RecordingGateway(WorkerGateway):
    def __init__(self) -> None:
        self.orders: list[StartOrder] = []

    async def start(self, order: StartOrder) -> OrderResult:
        self.orders.append(order)
        return RESULTS[order.task.index]

    async def stop(self, order: StopOrder) -> OrderResult:
        raise NotImplementedError

    async def throttle(self, order: ThrottleOrder) -> OrderResult:
        raise NotImplementedError

    async def renew_lease(self, order: RenewalOrder) -> RenewalReport:
        raise NotImplementedError


class SilentGateway(RecordingGateway):
    def __init__(self) -> None:
        super().__init__()
        self.last_sent_at = 0.0

    async def start(self, order: StartOrder) -> OrderResult:
        self.orders.append(order)
        self.last_sent_at = get_running_loop().time()
        await sleep(SILENCE_SECONDS)
        return OrderResult(OrderOutcome.UNACKNOWLEDGED)


class StartExecutorTest(unittest.IsolatedAsyncioTestCase):
    async def test_orders_that_the_caller_has_given_up_are_not_sent(self) -> None:
        gateway = SilentGateway()
        backlog = LinkBacklog(LINK_MBPS, SystemClock())
        began_at = get_running_loop().time()
        results = await StartExecutor(gateway, backlog).start([ORDER] * 5)
        self.assertLess(gateway.last_sent_at - began_at, SENDING_LIMIT_SECONDS)
        sent = len(gateway.orders)
        outcomes = [result.outcome for result in results]
        self.assertEqual(
            outcomes,
            [OrderOutcome.UNACKNOWLEDGED] * sent
            + [OrderOutcome.UNREACHED] * (len(outcomes) - sent),
        )


class StartRelayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        self.metrics = MetricsRegistry()
        clock = SystemClock()
        self.gateway = RecordingGateway()
        self.peer_backlog = LinkBacklog(LINK_MBPS, clock)
        executor = StartExecutor(self.gateway, self.peer_backlog)
        port, self.closed_port = find_ports(2)
        self.address = f"{LOOPBACK}:{port}"
        listener = HttpListener(
            self.address,
            PathHandler({STARTS_PATH: StartRelayHandler(executor, self.metrics)}),
            self.metrics,
            BODY_LIMIT_BYTES,
        )
        self.stack.push_async_callback(listener.close)
        meter = LinkMeter(
            LINK_MBPS, LinkBacklog(LINK_MBPS, clock), ListLog(), self.metrics
        )
        selector = RelaySelector(Random(1), clock)
        self.relay = HttpStartRelay("n1", selector, meter, self.metrics)
        self.stack.callback(self.relay.close)
        self.relay.set_peer_addresses([self.address])

    async def test_orders_and_results_arrive_as_they_are(self) -> None:
        results = await self.relay.start(ORDERS)
        self.assertCountEqual(self.gateway.orders, ORDERS)
        self.assertEqual(results, [RESULTS[17], RESULTS[17], RESULTS[18]])

    async def test_instance_with_an_occupied_link_sends_nothing(self) -> None:
        rate = self.peer_backlog.count_transfers(1.0, 1.0)
        self.peer_backlog.add(rate * (OCCUPIED_WAIT_SECONDS + 1.0))
        with self.assertRaises(StartsNotRelayedError):
            await self.relay.start(ORDERS)
        self.assertEqual(self.gateway.orders, [])
        self.assertFalse(self.relay.is_available)

    async def test_instance_that_is_gone_counts_as_having_sent_nothing(self) -> None:
        self.relay.set_peer_addresses([f"{LOOPBACK}:{self.closed_port}"])
        with self.assertRaises(StartsNotRelayedError):
            await self.relay.start(ORDERS)

    async def test_unreadable_orders_are_rejected_with_an_explanation(self) -> None:
        client = HttpClient(1)
        self.stack.callback(client.close)
        for body in (b"", b"\xff", b"\xa1ajax", b"\x80"):
            url = f"http://{self.address}{STARTS_PATH}"
            response = await client.call("POST", url, 2.0, body)
            self.assertEqual(response.status, 400, body)
            self.assertIn(b"unreadable batch", response.body)
        self.assertEqual(self.gateway.orders, [])


if __name__ == "__main__":
    unittest.main()
