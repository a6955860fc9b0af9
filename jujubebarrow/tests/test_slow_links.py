"""Reads from the store by an instance whose link is small.

Guards against a read that never ends because its pages are larger than the link can
carry within the timeout, against large reads that delay the calls that keep the lease,
against a slow response that counts as an unreachable store, and against bare tracebacks
among the lines of the event log.
"""

import asyncio
import subprocess
import sys
import unittest
from base64 import b64encode
from contextlib import AsyncExitStack
from pathlib import Path
from random import Random
from tempfile import NamedTemporaryFile
from typing import Any

import cbor2
from msgspec import json

from jujubebarrow.clocks.system_clocks import SystemClock
from jujubebarrow.errors.exceptions import SettingsError, StoreError
from jujubebarrow.links.link_backlogs import LinkBacklog
from jujubebarrow.links.link_meters import LinkMeter
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.platform.settings_files import load_platform_settings
from jujubebarrow.platform.stores import PlatformStore
from jujubebarrow.standins.ports import LOOPBACK, find_ports
from jujubebarrow.stores.read_throttles import ReadThrottle
from jujubebarrow.stores.relayed_stores import RelayClient, RelayedStore
from jujubebarrow.stores.transactions import Transaction
from jujubebarrow.tests.fakes.fake_documents import ListLog
from jujubebarrow.tests.fakes.slow_link_stores import SlowLinkStore
from jujubebarrow.transports.http_clients import HttpCallError, HttpClient
from jujubebarrow.transports.http_relays import HttpRelayClient, RelayHandler
from jujubebarrow.transports.http_servers import HttpListener

LINK_BYTES_PER_SECOND = 600_000
NOMINAL_LINK_MBPS = 10.0
"""Rate in the settings, twice what the link really carries."""
ROW_BYTES = 3000
BODY_LIMIT_BYTES = 1_000_000
HEARTBEAT_PERIOD_SECONDS = 0.5
PARALLEL_READS = 40
"""Reads of an instance that loads five pools, eight queues of each at a time."""


class CountingRelay(RelayClient):
    """Relay that no call should reach."""

    def __init__(self) -> None:
        self.call_count = 0

    async def call(self, address: str, body: bytes, wait: float) -> Any:
        self.call_count += 1
        raise StoreError("no relay in this test", False)


def make_value(size: int) -> str:
    return b64encode(cbor2.dumps({"v": {"text": "x" * size}, "n": "nonce"})).decode()


class SlowLinkCase(unittest.IsolatedAsyncioTestCase):
    link_mbps = NOMINAL_LINK_MBPS

    async def asyncSetUp(self) -> None:
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        self.standin = SlowLinkStore(LINK_BYTES_PER_SECOND)
        await self.standin.open(self.stack)
        self.metrics = MetricsRegistry()
        self.log = ListLog("n1")
        backlog = LinkBacklog(self.link_mbps, SystemClock())
        self.meter = LinkMeter(self.link_mbps, backlog, self.log, self.metrics)
        self.relay = CountingRelay()
        self.store = self.make_store(self.relay)

    def make_store(self, relay: RelayClient) -> RelayedStore:
        throttle = ReadThrottle(self.link_mbps, self.metrics)
        direct = PlatformStore(self.standin.address, throttle, self.meter, self.metrics)
        self.stack.callback(direct.close)
        store = RelayedStore(
            direct,
            relay,
            throttle,
            Random(1),
            SystemClock(),
            self.log,
            self.metrics,
        )
        store.set_peer_addresses(["127.0.0.1:9"])
        return store

    def fill(self, part: str, count: int, size: int = ROW_BYTES) -> None:
        for number in range(count):
            self.standin.put("jobs", part, f"{number:016x}", make_value(size))

    def count_events(self, event: str) -> int:
        return sum(line["event"] == event for line in self.log.lines)

    async def keep_heartbeat(self, failures: list[str], delays: list[float]) -> None:
        clock = asyncio.get_running_loop()
        while True:
            sent_at = clock.time()
            key = "heartbeats/n1/heartbeat"
            try:
                await self.store.try_commit(
                    Transaction(writes={key: {"at": sent_at}}, nonce="n")
                )
                await self.store.read("control//")
            except StoreError as error:
                failures.append(str(error))
            delays.append(clock.time() - sent_at)
            await asyncio.sleep(HEARTBEAT_PERIOD_SECONDS)


class SlowLinkReadTest(SlowLinkCase):
    async def read_with_heartbeats(self, parts: list[str]) -> list[list[Any]]:
        failures: list[str] = []
        delays: list[float] = []
        for number in range(5):
            self.standin.put("control", "", f"duty/pool-{number}", make_value(80))
        heartbeat = asyncio.create_task(self.keep_heartbeat(failures, delays))
        while not delays:
            await asyncio.sleep(0.01)
        found = await asyncio.wait_for(
            asyncio.gather(*(self.store.read(f"jobs/{part}/") for part in parts)), 20
        )
        heartbeat.cancel()
        self.assertGreater(len(delays), 3)
        self.assertEqual(failures, [])
        self.assertEqual(self.relay.call_count, 0)
        return [rows.rows for rows in found]

    async def test_large_read_ends_while_heartbeats_succeed(self) -> None:
        self.fill("q", 360)
        rows = (await self.read_with_heartbeats(["q"]))[0]
        self.assertEqual(len(rows), 360)
        self.assertEqual(len({row.key for row in rows}), 360)

    async def test_parallel_reads_end_while_heartbeats_succeed(self) -> None:
        parts = [f"q{number}" for number in range(PARALLEL_READS)]
        for part in parts:
            self.fill(part, 12)
        found = await self.read_with_heartbeats(parts)
        self.assertEqual([len(rows) for rows in found], [12] * PARALLEL_READS)

    async def test_parallel_reads_of_a_slow_store_end_while_heartbeats_succeed(
        self,
    ) -> None:
        self.standin.delay_seconds = 0.3
        parts = [f"q{number}" for number in range(PARALLEL_READS)]
        for part in parts:
            self.fill(part, 12)
        found = await self.read_with_heartbeats(parts)
        self.assertEqual([len(rows) for rows in found], [12] * PARALLEL_READS)

    async def test_slow_response_does_not_switch_calls_to_relays(self) -> None:
        self.standin.put("jobs", "q", "a" * 16, make_value(900_000))
        with self.assertRaises(StoreError):
            await self.store.read("jobs/q/")
        await self.store.read("control//")
        self.assertEqual(self.relay.call_count, 0)
        self.assertEqual(self.count_events("store_relayed"), 0)

    async def test_store_without_response_switches_calls_to_relays(self) -> None:
        self.standin.is_stalled = True
        with self.assertRaises(StoreError):
            await self.store.read("jobs/q/")
        with self.assertRaises(StoreError):
            await self.store.read("jobs/q/")
        self.assertEqual(self.relay.call_count, 1)
        self.assertEqual(self.count_events("store_relayed"), 1)


class MisjudgedLinkReadTest(SlowLinkCase):
    """The link carries a two hundredth of the rate in the settings."""

    link_mbps = 1000.0

    async def test_page_size_adapts_until_a_large_read_ends(self) -> None:
        self.fill("q", 360)
        found = await asyncio.wait_for(self.store.read("jobs/q/"), 20)
        self.assertEqual(len(found.rows), 360)
        self.assertEqual(self.relay.call_count, 0)
        limits = [int(call.get("Limit", 500)) for call in self.standin.calls]
        self.assertEqual(limits[0], 500)
        self.assertLess(limits[-1], 50)


class ReadProgressTest(SlowLinkCase):
    async def test_failed_page_is_read_again_from_the_last_row(self) -> None:
        self.store.set_peer_addresses([])
        self.fill("q", 1200, 20)
        self.standin.failing_reads = {1}
        found = await self.store.read("jobs/q/")
        self.assertEqual(len(found.rows), 1200)
        starts = [call.get("From", "") for call in self.standin.calls]
        self.assertEqual(starts.count(""), 1)
        self.assertEqual(starts[1], starts[2])

    async def test_page_that_keeps_failing_ends_the_read(self) -> None:
        self.store.set_peer_addresses([])
        self.fill("q", 1200, 20)
        self.standin.failing_reads = set(range(1, 100))
        with self.assertRaises(StoreError):
            await asyncio.wait_for(self.store.read("jobs/q/"), 10)
        self.assertLess(len(self.standin.calls), 8)

    async def test_row_after_a_row_removed_between_pages_is_read(self) -> None:
        self.fill("q", 1200, 20)
        read_page = self.standin._read

        def read_and_remove_last(query: dict[str, str]) -> dict[str, Any]:
            page = read_page(query)
            if page["HasMore"]:
                self.standin.remove("jobs", "q", page["rows"][-1]["Key"])
            return page

        self.standin._read = read_and_remove_last
        found = await self.store.read("jobs/q/")
        self.assertEqual(len(found.rows), 1200)

    async def test_later_changes_are_read_from_the_first_page_on(self) -> None:
        self.fill("q", 1200, 20)
        revision = self.standin._revision
        read_page = self.standin._read

        def read_and_change(query: dict[str, str]) -> dict[str, Any]:
            page = read_page(query)
            self.standin.put("jobs", "q", "0" * 16, make_value(20))
            return page

        self.standin._read = read_and_change
        found = await self.store.read("jobs/q/")
        self.assertEqual(found.revision, revision)


class RelayedReadTest(SlowLinkCase):
    async def test_large_read_through_a_relay_ends(self) -> None:
        self.fill("q", 360)
        throttle = ReadThrottle(self.link_mbps, self.metrics)
        other_direct = PlatformStore(
            self.standin.address, throttle, self.meter, self.metrics
        )
        self.stack.callback(other_direct.close)
        port, closed_port = find_ports(2)
        listener = HttpListener(
            f"{LOOPBACK}:{port}",
            RelayHandler(other_direct, self.metrics),
            self.metrics,
            BODY_LIMIT_BYTES,
        )
        self.stack.push_async_callback(listener.close)
        relay = HttpRelayClient(self.meter)
        self.stack.callback(relay.close)
        self.standin.address = f"{LOOPBACK}:{closed_port}"
        store = self.make_store(relay)
        store.set_peer_addresses([f"{LOOPBACK}:{port}"])
        with self.assertRaises(StoreError):
            await store.read("control//")
        found = await asyncio.wait_for(store.read("jobs/q/"), 20)
        self.assertEqual(len(found.rows), 360)
        self.assertGreater(self.metrics.value("store_relay"), 5)
        self.assertEqual(self.metrics.value("store_relay_failed"), 0)


class LinkSettingTest(unittest.TestCase):
    def read_link(self, line: str) -> float:
        text = (
            "NodeName=n1\nIp=10.0.0.1\nPortRange=7000,7015\n"
            "ListenAddrs.FrontAddr=10.0.0.1:8340\nListenAddrs.ReadyAddr=10.0.0.1:8343\n"
            "platform.Address=10.0.0.2:8344\n"
        )
        with NamedTemporaryFile("w", suffix=".conf") as file:
            file.write(text + line)
            file.flush()
            return load_platform_settings(Path(file.name)).link_mbps

    def test_link_rate_is_read_and_checked(self) -> None:
        self.assertEqual(self.read_link("Limits.LinkMbps=10.0\n"), 10.0)
        self.assertEqual(self.read_link(""), 1000.0)
        self.assertEqual(self.read_link("Limits.LinkMbps=0\n"), 1000.0)
        for value in ("fast", "-1"):
            with self.assertRaises(SettingsError):
                self.read_link(f"Limits.LinkMbps={value}\n")


class LibraryLogTest(unittest.IsolatedAsyncioTestCase):
    async def test_cancelled_call_leaves_no_error_record(self) -> None:
        async with AsyncExitStack() as stack:
            standin = SlowLinkStore(LINK_BYTES_PER_SECOND)
            await standin.open(stack)
            standin.is_stalled = True
            client = HttpClient(4)
            stack.callback(client.close)
            url = f"http://{standin.address}/-/rows-get?Table=jobs&part=q"
            with self.assertNoLogs("tornado", "WARNING"):
                with self.assertRaises(TimeoutError):
                    await asyncio.wait_for(client.call("GET", url, 0.3), 0.1)
                await asyncio.sleep(0.5)
            with self.assertRaises(HttpCallError):
                await client.call("GET", url, 0.1)

    async def test_client_closed_during_a_call_leaves_no_error_record(self) -> None:
        async with AsyncExitStack() as stack:
            standin = SlowLinkStore(LINK_BYTES_PER_SECOND)
            await standin.open(stack)
            standin.is_stalled = True
            client = HttpClient(4)
            url = f"http://{standin.address}/-/rows-get?Table=jobs&part=q"
            with self.assertNoLogs("tornado", "WARNING"):
                with self.assertRaises(TimeoutError):
                    await asyncio.wait_for(client.call("GET", url, 0.3), 0.1)
                client.close()
                await asyncio.sleep(0.5)

    def test_records_of_libraries_are_structured_lines(self) -> None:
        program = """
import logging
from jujubebarrow.logs.event_logs import set_up_event_log
from jujubebarrow.metrics.registries import MetricsRegistry
metrics = MetricsRegistry()
set_up_event_log(metrics)
for number in range(1000):
    try:
        raise ValueError("broken\\n line")
    except ValueError as error:
        logging.getLogger("tornado.application").error(
            "Exception after Future was cancelled", exc_info=error
        )
logging.getLogger("asyncio").error("Task exception was never retrieved")
count = sum(
    value for (name, _), value in metrics.counters().items()
    if name == "library_message"
)
print('{"count": %d}' % count)
"""
        done = subprocess.run(
            [sys.executable, "-c", program], capture_output=True, timeout=60
        )
        self.assertEqual(done.stderr.decode(), "")
        lines = [json.decode(line) for line in done.stdout.splitlines()]
        self.assertEqual(lines[-1], {"count": 1001})
        self.assertLess(len(lines), 10)
        self.assertEqual(
            {line["logger"] for line in lines[:-1]}, {"tornado.application", "asyncio"}
        )
        self.assertIn("ValueError", lines[0]["error"])


if __name__ == "__main__":
    unittest.main()
