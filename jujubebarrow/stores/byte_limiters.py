"""Limit on the bytes of the responses that are outstanding at the same time."""

from asyncio import CancelledError, Future, get_running_loop
from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager


class ByteLimiter:
    """Admits calls, first come first served, while their responses fit into a limit.

    A single call is always admitted, also if its response exceeds the limit.

    Args:
        get_limit: Returns the present limit in bytes.
    """

    def __init__(self, get_limit: Callable[[], float]):
        self._get_limit = get_limit
        self._outstanding_bytes = 0.0
        self._waiters: deque[tuple[Future[None], float]] = deque()

    @property
    def outstanding_bytes(self) -> float:
        """Expected bytes of the admitted calls that have not ended."""
        return self._outstanding_bytes

    @asynccontextmanager
    async def reserve(self, size_bytes: float) -> AsyncIterator[None]:
        """Wait until a call is admitted; the call ends with the context.

        Args:
            size_bytes: Expected size of the response.
        """
        await self._wait_for_admission(size_bytes)
        try:
            yield
        finally:
            self._release(size_bytes)

    async def _wait_for_admission(self, size_bytes: float) -> None:
        if not self._waiters and self._fits(size_bytes):
            self._outstanding_bytes += size_bytes
            return
        admission: Future[None] = get_running_loop().create_future()
        self._waiters.append((admission, size_bytes))
        try:
            await admission
        except CancelledError:
            if admission.cancelled():
                self._admit_waiters()
            else:
                self._release(size_bytes)
            raise

    def _fits(self, size_bytes: float) -> bool:
        outstanding = self._outstanding_bytes
        return not outstanding or outstanding + size_bytes <= self._get_limit()

    def _release(self, size_bytes: float) -> None:
        self._outstanding_bytes -= size_bytes
        self._admit_waiters()

    def _admit_waiters(self) -> None:
        while self._waiters:
            admission, size_bytes = self._waiters[0]
            if not admission.cancelled():
                if not self._fits(size_bytes):
                    return
                self._outstanding_bytes += size_bytes
                admission.set_result(None)
            self._waiters.popleft()
