"""Simulated network: partitions between zones, killed and frozen processes."""

from asyncio import Event, Future, get_running_loop, sleep
from random import Random


class FakeNetwork:
    def __init__(self, random: Random):
        self.random = random
        self.zones: dict[str, str] = {}
        self.killed_incarnations: set[str] = set()
        self.partitioned_zones: set[frozenset[str]] = set()
        self.zones_without_platform: set[str] = set()
        self.is_platform_down = False
        self.reply_loss_probability = 0.0
        self._frozen: dict[str, Event] = {}

    def freeze(self, node: str) -> None:
        self._frozen.setdefault(node, Event())

    def unfreeze(self, node: str) -> None:
        event = self._frozen.pop(node, None)
        if event is not None:
            event.set()

    def is_frozen(self, node: str) -> bool:
        return node in self._frozen

    async def wait_until_running(self, incarnation: str, node: str) -> None:
        """Block a killed process forever and a frozen process until unfrozen."""
        if incarnation in self.killed_incarnations:
            await Future(loop=get_running_loop())
        while node in self._frozen:
            await self._frozen[node].wait()
        if incarnation in self.killed_incarnations:
            await Future(loop=get_running_loop())

    def is_connected(self, one: str, other: str) -> bool:
        pair = frozenset({self.zones[one], self.zones[other]})
        return pair not in self.partitioned_zones

    def can_reach_platform(self, node: str) -> bool:
        if self.is_platform_down:
            return False
        return self.zones[node] not in self.zones_without_platform

    async def wait_for_latency(self) -> None:
        await sleep(self.random.uniform(0.0005, 0.004))

    def clear_faults(self) -> None:
        self.partitioned_zones.clear()
        self.zones_without_platform.clear()
        self.is_platform_down = False
        self.reply_loss_probability = 0.0
        for node in list(self._frozen):
            self.unfreeze(node)
