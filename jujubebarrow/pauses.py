"""Sleep that can be ended early."""

from asyncio import Future, get_running_loop


class Pause:
    """Sleep of one task, which other tasks can end.

    An interruption while no task sleeps ends the next sleep at once.
    """

    def __init__(self) -> None:
        self._future: Future[None] | None = None
        self._is_interrupted = False

    async def sleep(self, seconds: float | None = None) -> None:
        """Wait for some time or until interrupted.

        Args:
            seconds: Longest time to wait; None for no limit.
        """
        if self._is_interrupted:
            self._is_interrupted = False
            return
        loop = get_running_loop()
        future = self._future = loop.create_future()
        timer = None
        if seconds is not None:
            timer = loop.call_later(max(0.0, seconds), _set_done, future)
        try:
            await future
        finally:
            self._future = None
            if timer is not None:
                timer.cancel()

    def interrupt(self) -> None:
        """End the present sleep, or else the next one."""
        if self._future is None:
            self._is_interrupted = True
        else:
            _set_done(self._future)


def _set_done(future: Future[None]) -> None:
    if not future.done():
        future.set_result(None)
