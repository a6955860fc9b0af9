"""Base class of tests that run a fleet of real processes."""

import unittest
from contextlib import AsyncExitStack
from typing import Any

from jujubebarrow.standins.fleets import EntryInstance, Fleet, FleetShape

QUEUES: dict[str, dict[str, Any]] = {
    "labels": {"pool": "labels"},
    "certificates": {"pool": "labels", "idempotent": False},
    "verify": {"pool": "labels", "open": True},
    "reef-only": {"pool": "labels", "teams": ["reef"]},
    "overnight": {"pool": "labels", "priority": "overnight"},
    "huge": {"pool": "labels", "cores": 64},
}
TEAMS = {"tuna": {"limit": 16}, "reef": {"limit": 16}}


class FleetCase(unittest.IsolatedAsyncioTestCase):
    """Starts a configured fleet before each test and stops the fleet afterwards."""

    shape = FleetShape()

    async def asyncSetUp(self) -> None:
        self._stack = AsyncExitStack()
        self.fleet = await self._stack.enter_async_context(Fleet(self.shape))
        await self.configure()

    async def configure(self) -> None:
        await self.fleet.configure(QUEUES, TEAMS)

    async def asyncTearDown(self) -> None:
        await self._stack.aclose()

    @property
    def entries(self) -> list[EntryInstance]:
        return list(self.fleet.entries.values())

    def find_process(self, entry: EntryInstance):
        assert entry.process is not None
        return entry.process
