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
from contextlib import AsyncExitStack

from msgspec import json

from jujubebarrow.tests.fakes.slow_link_stores import SlowLinkStore
from jujubebarrow.transports.http_clients import HttpCallError, HttpClient

LINK_BYTES_PER_SECOND = 600_000
ROW_BYTES = 3000
BODY_LIMIT_BYTES = 1_000_000
HEARTBEAT_PERIOD_SECONDS = 0.5


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
