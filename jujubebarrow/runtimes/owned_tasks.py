"""Asyncio tasks that are cancelled when their owner closes."""

from asyncio import CancelledError, Task, create_task, current_task, sleep
from collections.abc import Callable, Coroutine
from typing import Any

from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry

RESTART_SECONDS = 0.5
"""Seconds after an unexpected error until a loop runs again."""


class OwnedTasks:
    """Asyncio tasks of one owner.

    An exception is logged and ends only the task that raised the exception; a loop
    runs again.

    Args:
        log: Decision log.
        metrics: Registry of the counters.
    """

    def __init__(self, log: DecisionLog, metrics: MetricsRegistry):
        self._log = log
        self._metrics = metrics
        self._tasks: set[Task[None]] = set()
        self._is_closed = False

    def start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task unless the owner has closed."""
        if self._is_closed:
            coroutine.close()
            return
        task = create_task(self._run_task(coroutine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        # A task that is cancelled before its first step never awaits the coroutine.
        task.add_done_callback(lambda _: coroutine.close())

    async def _run_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        await self._run_logged(coroutine)

    def start_loop(self, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a loop as a task until it returns or the owner closes.

        Args:
            run: Runs the loop; called again after an unexpected error.
        """
        self.start(self._run_again_after_errors(run))

    async def _run_again_after_errors(
        self, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        while not await self._run_logged(run()):
            await sleep(RESTART_SECONDS)

    async def _run_logged(self, coroutine: Coroutine[Any, Any, None]) -> bool:
        """Return whether a coroutine has ended without an error; log an error."""
        try:
            await coroutine
            return True
        except CancelledError:
            raise
        except Exception as error:
            self._metrics.count("task_failed", type(error).__name__)
            frame = error.__traceback__
            while frame is not None and frame.tb_next is not None:
                frame = frame.tb_next
            location = ""
            if frame is not None:
                code = frame.tb_frame.f_code
                location = f"{code.co_filename.rsplit('/', 1)[-1]}:{frame.tb_lineno}"
            self._log.write("task_failed", detail=repr(error), place=location)
            return False

    def close(self) -> None:
        """Cancel all tasks except the one that calls this method."""
        self._is_closed = True
        for task in list(self._tasks):
            if task is not current_task():
                task.cancel()
