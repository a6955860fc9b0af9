"""Loop that runs beside others until it is closed."""

from abc import ABC, abstractmethod
from asyncio import CancelledError, Task, create_task


class BackgroundLoop(ABC):
    """Owner of one task."""

    def __init__(self) -> None:
        self._task: Task[None] | None = None

    def open(self) -> None:
        """Start the loop."""
        self._task = create_task(self._run())

    async def close(self) -> None:
        """Stop the loop and wait until it has ended."""
        if self._task is None:
            return
        self._task.cancel()
        try:
            await self._task
        except CancelledError:
            pass

    @abstractmethod
    async def _run(self) -> None:
        """Work until cancelled."""
