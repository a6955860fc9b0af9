"""Base of loops that run as an asyncio task until they are closed."""

from abc import ABC, abstractmethod
from asyncio import CancelledError, Task, create_task, sleep
from logging import getLogger

RESTART_SECONDS = 0.5
"""Seconds after an unexpected error until a loop runs again."""

_logger = getLogger(__name__)


class BackgroundLoop(ABC):
    """Service that runs its loop in one asyncio task.

    An unexpected error is logged, and the loop runs again, because nothing else would
    notice that a loop has ended.
    """

    def __init__(self) -> None:
        self._task: Task[None] | None = None

    def open(self) -> None:
        """Start the loop's task."""
        self._task = create_task(self._run_again_after_errors())

    async def close(self) -> None:
        """Cancel the loop's task and wait until the task has ended."""
        if self._task is None:
            return
        self._task.cancel()
        try:
            await self._task
        except CancelledError:
            pass

    async def _run_again_after_errors(self) -> None:
        while True:
            try:
                return await self._run()
            except Exception:
                _logger.exception("%s failed", type(self).__name__)
            await sleep(RESTART_SECONDS)

    @abstractmethod
    async def _run(self) -> None:
        """Run the loop until cancelled."""
