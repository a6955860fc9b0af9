"""Rate at which work arrives at a pool.

The demand of a queue can rise within a second to several times its mean. Waiting tasks
show a rise only when callers already wait too long, because a machine takes seconds to
join a pool. The arrival rate shows a rise earlier, and the rise goes on while machines
are on their way.
"""

from collections import deque

WINDOW_SECONDS = 0.5
"""Length of a sliding window; several jobs arrive in that time at a demand peak."""
LEAD_SECONDS = 1.5
"""Time from the order for a machine until the machine serves the pool."""
GROWTH_LIMIT_FACTOR = 2.0
"""Largest expected rate as a multiple of the present one."""
MIN_JOBS_COUNT = 4
"""Jobs in a window from which on a rise is hardly by chance."""


class ArrivalRate:
    """Work that arrived within the present and the previous sliding window."""

    def __init__(self) -> None:
        self._arrivals: deque[tuple[float, float]] = deque()

    def add_work(self, work: float, now: float) -> None:
        """Add the work of an accepted job.

        Args:
            work: Estimated work in core-seconds.
            now: Time in seconds.
        """
        self._arrivals.append((now, work))

    def compute_required_cores(self, now: float) -> float:
        """Return the number of cores that keep up with the arriving work.

        A rise of the rate is expected to go on until machines that are ordered now
        serve the pool.
        """
        while self._arrivals and self._arrivals[0][0] <= now - 2 * WINDOW_SECONDS:
            self._arrivals.popleft()
        works = [work for at, work in self._arrivals if at > now - WINDOW_SECONDS]
        total = sum(work for _, work in self._arrivals)
        rate = sum(works) / WINDOW_SECONDS
        former_rate = (total - sum(works)) / WINDOW_SECONDS
        if len(works) < MIN_JOBS_COUNT or rate <= former_rate:
            return rate
        growth = (rate - former_rate) / WINDOW_SECONDS * LEAD_SECONDS
        return min(rate + growth, GROWTH_LIMIT_FACTOR * rate)
