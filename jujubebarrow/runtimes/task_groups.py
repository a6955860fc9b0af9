"""Tasks that end with their owner."""

from asyncio import CancelledError, Task, create_task, current_task
from collections.abc import Coroutine
from typing import Any

from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry


class OwnedTasks:
    """Running tasks of one owner; an error ends the task with a log line.

    Args:
        log: Log of decisions.
        metrics: Counters.
    """

    def __init__(self, log: DecisionLog, metrics: MetricsRegistry):
        self._log = log
        self._metrics = metrics
        self._tasks: set[Task[None]] = set()
        self._closed = False

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine unless the owner has been closed."""
        if self._closed:
            work.close()
            return
        task = create_task(self._guard(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _guard(self, work: Coroutine[Any, Any, None]) -> None:
        try:
            await work
        except CancelledError:
            raise
        except Exception as error:
            self._metrics.count("task_failed", type(error).__name__)
            frame = error.__traceback__
            while frame is not None and frame.tb_next is not None:
                frame = frame.tb_next
            place = ""
            if frame is not None:
                code = frame.tb_frame.f_code
                place = f"{code.co_filename.rsplit('/', 1)[-1]}:{frame.tb_lineno}"
            self._log.write("task_failed", detail=repr(error), place=place)

    def close(self) -> None:
        """Cancel all tasks but the one that calls."""
        self._closed = True
        for task in list(self._tasks):
            if task is not current_task():
                task.cancel()
