"""Simulated network: connectivity of zones, killed and frozen processes."""

from asyncio import Event, Future, get_running_loop, sleep
from random import Random


class FakeNetwork:
    def __init__(self, random: Random):
        self.random = random
        self.zones: dict[str, str] = {}
        self.dead: set[str] = set()
        self.cut_zones: set[frozenset[str]] = set()
        self.zones_without_platform: set[str] = set()
        self.platform_down = False
        self.reply_loss = 0.0
        self._frozen: dict[str, Event] = {}

    def freeze(self, node: str) -> None:
        self._frozen.setdefault(node, Event())

    def thaw(self, node: str) -> None:
        event = self._frozen.pop(node, None)
        if event is not None:
            event.set()

    def is_frozen(self, node: str) -> bool:
        return node in self._frozen

    async def gate(self, incarnation: str, node: str) -> None:
        """Block a killed process forever and a frozen process until unfrozen."""
        if incarnation in self.dead:
            await Future(loop=get_running_loop())
        while node in self._frozen:
            await self._frozen[node].wait()
        if incarnation in self.dead:
            await Future(loop=get_running_loop())

    def is_connected(self, one: str, other: str) -> bool:
        pair = frozenset({self.zones[one], self.zones[other]})
        return pair not in self.cut_zones

    def reaches_platform(self, node: str) -> bool:
        if self.platform_down:
            return False
        return self.zones[node] not in self.zones_without_platform

    async def delay(self) -> None:
        await sleep(self.random.uniform(0.0005, 0.004))

    def heal(self) -> None:
        self.cut_zones.clear()
        self.zones_without_platform.clear()
        self.platform_down = False
        self.reply_loss = 0.0
        for node in list(self._frozen):
            self.thaw(node)
