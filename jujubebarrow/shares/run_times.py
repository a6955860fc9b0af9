"""Observed run times."""

SMOOTHING_FACTOR = 0.1
FIRST_OBSERVATIONS_COUNT = 10
SHORTEST_ATTEMPT_SECONDS = 1.0
ATTEMPT_FACTOR = 10.0
"""Run times after which an attempt counts as stuck."""
MAX_STRETCH_FACTOR = 64.0
STRETCH_DECAY_FACTOR = 0.8


class RunTimeEstimate:
    """Moving mean of observed run times.

    Args:
        declared: First guess in seconds, which observations replace.
    """

    def __init__(self, declared: float):
        self._mean = declared
        self._count = 0
        self._stretch = 1.0

    @property
    def seconds(self) -> float:
        """Expected run time."""
        return self._mean

    def attempt_timeout(self, remaining: float) -> float:
        """Return the seconds after which an attempt counts as stuck.

        While little is known, half of the remaining time is left for another
        attempt. Attempts that were given up too early make later ones longer.

        Args:
            remaining: Seconds to the deadline.
        """
        if self._count < FIRST_OBSERVATIONS_COUNT:
            return max(min(SHORTEST_ATTEMPT_SECONDS, remaining), remaining / 2)
        usual = max(SHORTEST_ATTEMPT_SECONDS, ATTEMPT_FACTOR * self._mean)
        return min(remaining, usual * self._stretch)

    def observe_timeout(self) -> None:
        """Note an attempt that did not end in time."""
        self._stretch = min(MAX_STRETCH_FACTOR, self._stretch * 2)

    def observe(self, seconds: float) -> None:
        """Add one run time."""
        self._count += 1
        self._stretch = max(1.0, self._stretch * STRETCH_DECAY_FACTOR)
        weight = max(SMOOTHING_FACTOR, 1 / self._count)
        if self._count > FIRST_OBSERVATIONS_COUNT:
            weight = SMOOTHING_FACTOR
        self._mean += weight * (seconds - self._mean)
