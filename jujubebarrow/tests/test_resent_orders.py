"""Orders that the HTTP client sends twice as a connection is reset."""

import unittest
from dataclasses import replace
from random import Random
from typing import Any

from msgspec import json

from jujubebarrow.clocks.boot_clocks import BootClock
from jujubebarrow.coordinators.order_results import OrderOutcome, OrderResult
from jujubebarrow.coordinators.orders import RenewalOrder, StartOrder, StopOrder
from jujubebarrow.gateways.machine_controls import MachineControlError
from jujubebarrow.gateways.start_batches import encode_results
from jujubebarrow.gateways.worker_gateways import WorkerFencedError, WorkerGateway
from jujubebarrow.identifiers import InstanceId, PoolId
from jujubebarrow.links.link_backlogs import LinkBacklog
from jujubebarrow.links.link_meters import LinkMeter
from jujubebarrow.logs.event_logs import EventLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.platform.machines import PlatformMachines
from jujubebarrow.platform.workers import PlatformWorkers, parse_task_key
from jujubebarrow.stores.relay_selectors import RelaySelector
from jujubebarrow.tests.fakes.resetting_servers import ResettingServer, ServerRequest
from jujubebarrow.transports.http_start_relays import HttpStartRelay
from jujubebarrow.upstreams.http_worker_gateways import HttpWorkerGateway
from jujubebarrow.upstreams.task_messages import encode_message
from jujubebarrow.workloads.identifiers import (
    FenceToken,
    MachineId,
    RunNumber,
    WorkerId,
)

LINK_MBPS = 100.0
ORDER = StartOrder(
    worker=WorkerId("w1"),
    address="",
    task=parse_task_key("0123456789abcdef.0.0.0"),
    run=RunNumber(1),
    payload="",
    deadline=100.0,
    token=FenceToken(5),
)
ACCEPTED = 200, json.encode({"ClockMs": 1000})
Response = tuple[int, bytes]


def make_refusal(status: int, reason: str = "") -> Response:
    return status, json.encode({"ClockMs": 1000, "Reason": reason})


class ResentOrderTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.metrics, clock = MetricsRegistry(), BootClock()
        backlog = LinkBacklog(LINK_MBPS, clock)
        log = EventLog(clock, self.metrics)
        self.meter = LinkMeter(LINK_MBPS, backlog, log, self.metrics)
        self.selector = RelaySelector(Random(1), clock)

    async def open_server(self, first: Response, second_copy: Response) -> str:
        """Serve one call, reset the next one and answer its second copy."""
        responses = [first, None, second_copy]
        self.request_count = 0

        def respond(request: ServerRequest) -> Response | None:
            self.request_count += 1
            return responses.pop(0)

        server = ResettingServer(respond)
        self.addAsyncCleanup(server.close)
        return await server.open()

    async def test_start_is_not_sent_again_by_the_client_after_a_reset(self) -> None:
        workers = PlatformWorkers(self.meter, self.metrics)
        own_workers = HttpWorkerGateway(self.metrics)
        own_accepted = 200, encode_message(OrderResult(OrderOutcome.ACCEPTED))
        for gateway, response in ((workers, ACCEPTED), (own_workers, own_accepted)):
            with self.subTest(gateway=type(gateway).__name__):
                self.addCleanup(gateway.close)
                address = await self.open_server(response, response)
                order = replace(ORDER, address=address)
                await gateway.start(order)
                result = await gateway.start(order)
                self.assertIs(result.outcome, OrderOutcome.UNACKNOWLEDGED)
                self.assertEqual(self.request_count, 2)

    async def test_renewal_whose_second_copy_is_fenced_tells_of_a_later_owner(
        self,
    ) -> None:
        address = await self.open_server(ACCEPTED, make_refusal(409, "fence"))
        workers = PlatformWorkers(self.meter, self.metrics)
        self.addCleanup(workers.close)
        renewal = self.make_renewal(address)
        await workers.renew_lease(renewal)
        with self.assertRaises(WorkerFencedError):
            await workers.renew_lease(renewal)

    async def test_starts_of_a_relay_with_an_unexpected_error_are_unacknowledged(
        self,
    ) -> None:
        server = ResettingServer(lambda request: (500, b""))
        self.addAsyncCleanup(server.close)
        relay = HttpStartRelay("a-1", self.selector, self.meter, self.metrics)
        self.addCleanup(relay.close)
        relay.set_peer_addresses([await server.open()])
        [result] = await relay.start([ORDER])
        self.assertIs(result.outcome, OrderOutcome.UNACKNOWLEDGED)

    async def test_relay_of_starts_is_not_sent_again_by_the_client_after_a_reset(
        self,
    ) -> None:
        accepted = 200, encode_results([OrderResult(OrderOutcome.ACCEPTED, 1.0)])
        address = await self.open_server(accepted, accepted)
        relay = HttpStartRelay("a-1", self.selector, self.meter, self.metrics)
        self.addCleanup(relay.close)
        relay.set_peer_addresses([address])
        await relay.start([ORDER])
        results = await relay.start([ORDER])
        self.assertEqual(
            [result.outcome for result in results], [OrderOutcome.UNACKNOWLEDGED]
        )
        self.assertEqual(self.request_count, 2)

    async def test_stop_whose_second_copy_is_refused_counts_as_unacknowledged(
        self,
    ) -> None:
        refusals = [(status, "") for status in (400, 421, 429, 503)]
        refusals += [(409, name) for name in ("fence", "old", "late", "room", "ticket")]
        for status, reason in refusals:
            with self.subTest(status=status, reason=reason):
                refusal = make_refusal(status, reason)
                address = await self.open_server(ACCEPTED, refusal)
                workers = PlatformWorkers(self.meter, self.metrics)
                self.addCleanup(workers.close)
                result = await self.stop_twice(workers, address)
                self.assertIs(result.outcome, OrderOutcome.UNACKNOWLEDGED)

    def make_renewal(self, address: str) -> RenewalOrder:
        return RenewalOrder(
            worker=ORDER.worker,
            address=address,
            token=ORDER.token,
            acknowledged=0,
            deadline=100.0,
            wait=0.0,
        )

    async def stop_twice(self, gateway: WorkerGateway, address: str) -> OrderResult:
        stop = StopOrder(
            worker=ORDER.worker,
            address=address,
            task=ORDER.task,
            run=ORDER.run,
            token=ORDER.token,
        )
        await gateway.stop(stop)
        return await gateway.stop(stop)

    async def test_renewal_that_is_sent_twice_has_an_open_first_copy(self) -> None:
        address = await self.open_server(ACCEPTED, ACCEPTED)
        workers = PlatformWorkers(self.meter, self.metrics)
        self.addCleanup(workers.close)
        renewal = self.make_renewal(address)
        self.assertFalse((await workers.renew_lease(renewal)).has_open_copy)
        self.assertTrue((await workers.renew_lease(renewal)).has_open_copy)

    async def test_machine_order_whose_second_copy_is_refused_has_no_outcome(
        self,
    ) -> None:
        refusals = [(status, "") for status in (400, 429, 503)]
        refusals += [(409, name) for name in ("fence", "busy", "wave")]
        for status, reason in refusals:
            with self.subTest(status=status, reason=reason):
                refusal = make_refusal(status, reason)
                address = await self.open_server(ACCEPTED, refusal)
                machines = PlatformMachines(address, InstanceId("a-1"), self.metrics)
                self.addCleanup(machines.close)
                move: Any = (MachineId("m1"), PoolId("labels"), ORDER.token)
                await machines.move(*move)
                with self.assertRaises(MachineControlError):
                    await machines.move(*move)

    async def test_own_interface_stop_whose_second_copy_is_refused_is_unacknowledged(
        self,
    ) -> None:
        for outcome in OrderOutcome:
            if outcome is OrderOutcome.ACCEPTED:
                continue
            with self.subTest(outcome=outcome):
                accepted = 200, encode_message(OrderResult(OrderOutcome.ACCEPTED))
                refused = 200, encode_message(OrderResult(outcome))
                address = await self.open_server(accepted, refused)
                gateway = HttpWorkerGateway(self.metrics)
                self.addCleanup(gateway.close)
                result = await self.stop_twice(gateway, address)
                self.assertIs(result.outcome, OrderOutcome.UNACKNOWLEDGED)
