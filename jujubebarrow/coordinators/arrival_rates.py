"""Rate at which work arrives at a pool.

The demand of a queue can rise within a second to several times its mean. Waiting tasks
show a rise only when callers already wait too long, because a machine takes seconds to
join a pool. The arrival rate shows a rise earlier.
"""

from collections import deque

WINDOW_SECONDS = 0.5
"""Length of the sliding window; several jobs arrive in that time at a demand peak."""


class ArrivalRate:
    """Sum of the work that arrived within a sliding window."""

    def __init__(self) -> None:
        self._arrivals: deque[tuple[float, float]] = deque()
        self._total = 0.0

    def add_work(self, work: float, now: float) -> None:
        """Add the work of an accepted job.

        Args:
            work: Estimated work in core-seconds.
            now: Time in seconds.
        """
        self._arrivals.append((now, work))
        self._total += work

    def compute_required_cores(self, now: float) -> float:
        """Return the number of cores that keep up with the arriving work."""
        while self._arrivals and self._arrivals[0][0] < now - WINDOW_SECONDS:
            self._total -= self._arrivals.popleft()[1]
        return self._total / WINDOW_SECONDS if self._arrivals else 0.0
