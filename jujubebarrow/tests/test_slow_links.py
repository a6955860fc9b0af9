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
from random import Random
from typing import Any

import cbor2
from msgspec import json

from jujubebarrow.clocks.system_clocks import SystemClock
from jujubebarrow.errors.exceptions import StoreError
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.platform.stores import PlatformStore
from jujubebarrow.stores.relayed_stores import RelayClient, RelayedStore
from jujubebarrow.stores.transactions import Transaction
from jujubebarrow.tests.fakes.fake_documents import ListLog
from jujubebarrow.tests.fakes.slow_link_stores import SlowLinkStore
from jujubebarrow.transports.http_clients import HttpCallError, HttpClient

LINK_BYTES_PER_SECOND = 600_000
ROW_BYTES = 3000
BODY_LIMIT_BYTES = 1_000_000
HEARTBEAT_PERIOD_SECONDS = 0.5


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
    async def asyncSetUp(self) -> None:
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        self.standin = SlowLinkStore(LINK_BYTES_PER_SECOND)
        await self.standin.open(self.stack)
        self.metrics = MetricsRegistry()
        self.log = ListLog("n1")
        self.relay = CountingRelay()
        self.store = self.make_store(self.relay)

    def make_store(self, relay: RelayClient) -> RelayedStore:
        direct = PlatformStore(self.standin.address, self.metrics)
        self.stack.callback(direct.close)
        store = RelayedStore(
            direct,
            relay,
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
        await asyncio.sleep(0.1)
        found = await asyncio.wait_for(
            asyncio.gather(*(self.store.read(f"jobs/{part}/") for part in parts)), 20
        )
        heartbeat.cancel()
        self.assertGreater(len(delays), 3)
        self.assertEqual(failures, [])
        self.assertEqual(self.relay.call_count, 0)
        return [rows.rows for rows in found]

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


class ReadProgressTest(SlowLinkCase):
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
