"""Base of loops that run as an asyncio task until they are closed."""

from abc import ABC, abstractmethod
from asyncio import CancelledError, Task, create_task


class BackgroundLoop(ABC):
    """Service that runs its loop in one asyncio task."""

    def __init__(self) -> None:
        self._task: Task[None] | None = None

    def open(self) -> None:
        """Start the loop's task."""
        self._task = create_task(self._run())

    async def close(self) -> None:
        """Cancel the loop's task and wait until the task has ended."""
        if self._task is None:
            return
        self._task.cancel()
        try:
            await self._task
        except CancelledError:
            pass

    @abstractmethod
    async def _run(self) -> None:
        """Run the loop until cancelled."""
