"""Exclusion of an upstream that fails."""

from collections.abc import Callable

from jujubebarrow.clocks.clocks import Clock

LONGEST_FACTOR = 16


class Ejection:
    """Circuit breaker of one upstream.

    Refusals to start work are not failures: only work that was started and
    failed counts.

    Args:
        clock: Time source.
        failures: Failures in a row that eject.
        period: First ejection in seconds, doubled at each further one.
        on_change: Called when the upstream is ejected or taken back.
    """

    def __init__(
        self,
        clock: Clock,
        failures: int,
        period: float,
        on_change: Callable[[], None] = lambda: None,
    ):
        self._clock = clock
        self._threshold = failures
        self._period = period
        self._failures = 0
        self._ejections = 0
        self._until = float("-inf")
        self._trial = False
        self._on_change = on_change

    @property
    def ejected(self) -> bool:
        """Whether the upstream gets no work, other than a trial."""
        return self._ejections > 0

    def admits(self) -> bool:
        """Return whether a request may be sent now."""
        if not self.ejected:
            return True
        return self._clock.monotonic() >= self._until and not self._trial

    def start(self) -> None:
        """Note that a request is being sent."""
        if self.ejected:
            self._trial = True

    def succeed(self) -> None:
        """Note a whole answer."""
        self._failures = 0
        self._trial = False
        if self._ejections:
            self._ejections = 0
            self._on_change()

    def abandon(self) -> None:
        """Note that a request was not started."""
        self._trial = False

    def fail(self) -> bool:
        """Note a failure; return whether it ejected the upstream."""
        self._trial = False
        self._failures += 1
        if self._failures < self._threshold and not self.ejected:
            return False
        factor = min(2**self._ejections, LONGEST_FACTOR)
        self._ejections += 1
        self._until = self._clock.monotonic() + self._period * factor
        self._on_change()
        return True
