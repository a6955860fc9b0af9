"""Reads of changes in the emulated store that are cancelled while they end."""

import unittest
from asyncio import create_task, gather, sleep, wait_for

from jujubebarrow.standins.tables import Table
from jujubebarrow.tests.fakes.virtual_loops import run_virtual

WAIT_SECONDS = 1.0
LOCK_LIMIT_SECONDS = 1.0


class CancelledWatchTest(unittest.TestCase):
    def test_read_cancelled_at_its_timeout_does_not_block_the_table(self) -> None:
        async def scenario() -> None:
            table = Table(clock=lambda: 0.0)
            readers = [
                create_task(table.wait_for_changes("a/", 0, WAIT_SECONDS))
                for _ in range(4)
            ]
            await sleep(WAIT_SECONDS)
            for _ in range(6):
                # Each reader is cancelled again while it ends its own wait.
                for reader in readers:
                    reader.cancel()
                await sleep(0)
            await gather(*readers, return_exceptions=True)
            await wait_for(table.notify(), LOCK_LIMIT_SECONDS)

        run_virtual(scenario())
