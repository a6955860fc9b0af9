"""Estimates of run times and attempt timeouts."""

SMOOTHING_FACTOR = 0.1
FIRST_OBSERVATIONS_COUNT = 10
SHORTEST_ATTEMPT_SECONDS = 1.0
ATTEMPT_FACTOR = 10.0
"""Multiple of the mean run time after which an attempt times out."""
MAX_TIMEOUT_FACTOR = 64.0
TIMEOUT_DECAY_FACTOR = 0.8


class RunTimeEstimate:
    """Moving mean of observed run times.

    Args:
        declared: Configured run time in seconds, which is used until the first
            observation.
    """

    def __init__(self, declared: float):
        self._mean = declared
        self._count = 0
        self._timeout_factor = 1.0

    @property
    def seconds(self) -> float:
        """Expected run time in seconds."""
        return self._mean

    def attempt_timeout(self, remaining: float) -> float:
        """Return the seconds after which an attempt times out.

        While few run times have been observed, half of the remaining time is left for a
        second attempt, unless the first would get less than SHORTEST_ATTEMPT_SECONDS.
        Each attempt that timed out lengthens the timeout of later attempts.

        Args:
            remaining: Seconds until the deadline.
        """
        if self._count < FIRST_OBSERVATIONS_COUNT:
            return max(min(SHORTEST_ATTEMPT_SECONDS, remaining), remaining / 2)
        base_timeout = max(SHORTEST_ATTEMPT_SECONDS, ATTEMPT_FACTOR * self._mean)
        return min(remaining, base_timeout * self._timeout_factor)

    def observe_timeout(self) -> None:
        """Record an attempt that timed out.

        Doubles the timeout of later attempts, at most to MAX_TIMEOUT_FACTOR times.
        """
        self._timeout_factor = min(MAX_TIMEOUT_FACTOR, self._timeout_factor * 2)

    def observe(self, seconds: float) -> None:
        """Add an observed run time in seconds and shorten a lengthened timeout."""
        self._count += 1
        self._timeout_factor = max(1.0, self._timeout_factor * TIMEOUT_DECAY_FACTOR)
        weight = max(SMOOTHING_FACTOR, 1 / self._count)
        if self._count > FIRST_OBSERVATIONS_COUNT:
            weight = SMOOTHING_FACTOR
        self._mean += weight * (seconds - self._mean)
