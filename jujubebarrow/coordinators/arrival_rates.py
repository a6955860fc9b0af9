"""How much work arrives at a pool.

Answers queues that rise within a second to several times their mean: the tasks that
wait show it only when callers are late already, as a machine takes seconds to come.
"""

from collections import deque

WINDOW_SECONDS = 0.5
"""Seconds looked at; some jobs arrive within it while a queue has its turn."""


class ArrivalRate:
    """Work that arrived within the last moments."""

    def __init__(self) -> None:
        self._arrivals: deque[tuple[float, float]] = deque()
        self._total = 0.0

    def add_work(self, work: float, now: float) -> None:
        """Take a new job into account.

        Args:
            work: Estimated work in core-seconds.
            now: Time in seconds.
        """
        self._arrivals.append((now, work))
        self._total += work

    def required_cores(self, now: float) -> float:
        """Return the cores that would keep up with what arrives."""
        while self._arrivals and self._arrivals[0][0] < now - WINDOW_SECONDS:
            self._total -= self._arrivals.popleft()[1]
        return self._total / WINDOW_SECONDS if self._arrivals else 0.0
