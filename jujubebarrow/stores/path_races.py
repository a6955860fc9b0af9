"""Runs a direct call to the store for as long as the direct path is up."""

from asyncio import FIRST_COMPLETED, Task, create_task, wait
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from typing import Any, TypeVar

from jujubebarrow.stores.direct_paths import DirectPath

Result = TypeVar("Result")


@asynccontextmanager
async def run_until_down(
    call: Coroutine[Any, Any, Result], path: DirectPath
) -> AsyncIterator[Task[Result]]:
    """Start a call, and enter the context once it has ended or the path is down.

    The call goes on within the context, and is cancelled at its end.

    Args:
        call: Direct call to the store.
        path: State of the direct path; its going down means that the call has little
            chance, while its timeout may be far.
    """
    call_task = create_task(call)
    call_task.add_done_callback(_retrieve_error)
    down_task = create_task(path.wait_until_down())
    try:
        await wait({call_task, down_task}, return_when=FIRST_COMPLETED)
        yield call_task
    finally:
        down_task.cancel()
        call_task.cancel()


def _retrieve_error(task: Task[Any]) -> None:
    # The error of a call whose result is no longer needed is not logged.
    if not task.cancelled():
        task.exception()
