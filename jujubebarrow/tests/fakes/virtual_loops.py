"""Event loop with simulated time, which advances only while no task is runnable."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

from jujubebarrow.clocks.clocks import Clock

MAX_TIME_STEP_SECONDS = 3600.0
START_SECONDS = 12 * 86_400.0 - 20.0
"""Start of the clock, 20 s before midnight. Most simulations should run past midnight,
because the row keys of claims contain the day."""


class VirtualSelector(selectors.DefaultSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = START_SECONDS

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("deadlock: all tasks wait and no timer is scheduled")
        if timeout > 0:
            self.now += min(timeout, MAX_TIME_STEP_SECONDS)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._virtual_selector = VirtualSelector()
        super().__init__(self._virtual_selector)
        # Errors of abandoned tasks are not logged: callers that time out abandon tasks,
        # and no code retrieves the tasks' errors.
        self.set_exception_handler(lambda loop, context: None)

    def time(self) -> float:
        return self._virtual_selector.now


class LoopClock(Clock):
    """Clock of one host; the wall time deviates by a fixed error in seconds."""

    def __init__(self, loop: asyncio.AbstractEventLoop, error: float = 0.0):
        self._loop = loop
        self._error = error
        self._frozen_at: float | None = None

    def monotonic(self) -> float:
        return self._loop.time() if self._frozen_at is None else self._frozen_at

    def wall(self) -> float:
        return self.monotonic() + self._error

    def freeze(self) -> None:
        """Stop the clock, like that of a process that gets no processor time."""
        self._frozen_at = self._loop.time()

    def thaw(self) -> None:
        self._frozen_at = None


def run_virtual(main: Coroutine[Any, Any, Any]) -> Any:
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        _cancel_all(loop)
        loop.close()


def _cancel_all(loop: VirtualLoop) -> None:
    # Tasks of killed processes wait forever and are still pending when the loop ends.
    for task in asyncio.all_tasks(loop):
        task._log_destroy_pending = False  # type: ignore[attr-defined]
        task.cancel()
    loop.run_until_complete(asyncio.sleep(0))
