"""Observed run times."""

SMOOTHING = 0.1
FIRST_OBSERVATIONS = 10


class RunTimeEstimate:
    """Moving mean of observed run times.

    Args:
        declared: First guess in seconds, which observations replace.
    """

    def __init__(self, declared: float):
        self._mean = declared
        self._count = 0

    @property
    def seconds(self) -> float:
        """Expected run time."""
        return self._mean

    def observe(self, seconds: float) -> None:
        """Add one run time."""
        self._count += 1
        weight = max(SMOOTHING, 1 / self._count)
        if self._count > FIRST_OBSERVATIONS:
            weight = SMOOTHING
        self._mean += weight * (seconds - self._mean)
