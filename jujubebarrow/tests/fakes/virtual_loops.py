"""Event loop whose time passes only while nothing can run."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

from jujubebarrow.clocks.clocks import Clock

LONGEST_WAIT_SECONDS = 3600.0
START_SECONDS = 12 * 86_400.0 - 20.0


class VirtualSelector(selectors.DefaultSelector):
    def __init__(self) -> None:
        super().__init__()
        # Midnight comes in the middle of most runs.
        self.now = START_SECONDS

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("nothing can ever run again")
        if timeout > 0:
            self.now += min(timeout, LONGEST_WAIT_SECONDS)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._virtual = VirtualSelector()
        super().__init__(self._virtual)
        # Callers that gave up leave tasks behind whose errors nobody reads.
        self.set_exception_handler(lambda loop, context: None)

    def time(self) -> float:
        return self._virtual.now


class LoopClock(Clock):
    """Clock of one host, off by a fixed error on the wall."""

    def __init__(self, loop: asyncio.AbstractEventLoop, error: float = 0.0):
        self._loop = loop
        self._error = error

    def monotonic(self) -> float:
        return self._loop.time()

    def wall(self) -> float:
        return self._loop.time() + self._error


def run_virtual(main: Coroutine[Any, Any, Any]) -> Any:
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        _cancel_all(loop)
        loop.close()


def _cancel_all(loop: VirtualLoop) -> None:
    # What dead processes wait for never comes, so some tasks stay pending.
    for task in asyncio.all_tasks(loop):
        task._log_destroy_pending = False  # type: ignore[attr-defined]
        task.cancel()
    loop.run_until_complete(asyncio.sleep(0))
