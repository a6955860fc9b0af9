"""Circuit breaker of an upstream."""

from collections.abc import Callable

from jujubebarrow.clocks.clocks import Clock

MAX_BACKOFF_FACTOR = 16
"""Maximum length of an ejection as a multiple of the first ejection's length."""


class Ejection:
    """Circuit breaker of one upstream.

    An unreachable upstream, an incomplete or missing response and a server error count
    as failures. A refusal to start a request does not count.

    Args:
        clock: Clock that measures ejection periods.
        failure_limit: Number of consecutive failures that eject the upstream.
        period: Length of the first ejection in seconds; each further ejection lasts
            twice as long as the last one, up to a limit.
        on_change: Called when the upstream is ejected or readmitted.
    """

    def __init__(
        self,
        clock: Clock,
        failure_limit: int,
        period: float,
        on_change: Callable[[], None] = lambda: None,
    ):
        self._clock = clock
        self._failure_limit = failure_limit
        self._period = period
        self._consecutive_failures = 0
        self._ejections = 0
        self._ejected_until = float("-inf")
        self._is_trial_running = False
        self._on_change = on_change

    @property
    def is_ejected(self) -> bool:
        """Whether the upstream gets no requests except for a trial request."""
        return self._ejections > 0

    def can_admit(self) -> bool:
        """Return whether a request may be sent now."""
        if not self.is_ejected:
            return True
        return (
            self._clock.monotonic() >= self._ejected_until
            and not self._is_trial_running
        )

    def record_start(self) -> None:
        """Record that a request is being sent."""
        if self.is_ejected:
            self._is_trial_running = True

    def record_success(self) -> None:
        """Record a complete response and end the ejection."""
        self._consecutive_failures = 0
        self._is_trial_running = False
        if self._ejections:
            self._ejections = 0
            self._on_change()

    def record_not_started(self) -> None:
        """Record that a request was not started; a trial request ends undecided."""
        self._is_trial_running = False

    def record_failure(self) -> bool:
        """Record a failure; return whether the failure ejected the upstream."""
        self._is_trial_running = False
        self._consecutive_failures += 1
        if self._consecutive_failures < self._failure_limit and not self.is_ejected:
            return False
        factor = min(2**self._ejections, MAX_BACKOFF_FACTOR)
        self._ejections += 1
        self._ejected_until = self._clock.monotonic() + self._period * factor
        self._on_change()
        return True
