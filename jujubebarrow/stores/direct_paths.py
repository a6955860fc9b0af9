"""Whether an instance's direct calls to the store succeed at present."""

from asyncio import Event

from jujubebarrow.clocks.clocks import Clock

PROBE_DELAY_SECONDS = 1.0
"""Time after a failed direct call before the path is probed."""
PROBE_SPACING_SECONDS = 0.2
"""Time between a successful probe and the next one if one does not suffice."""
SUCCESS_COUNT = 4
"""Number of successes in a row that restore a path; a path that loses most calls lets
single ones through."""


class DirectPath:
    """Tracks failures of direct calls, and when the path has to be probed.

    A path is down from its first failure on, until several calls in a row succeed, so
    that a path that loses many calls, but not all, stays down.

    Args:
        clock: Time source.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._down = Event()
        self._failed_at = float("-inf")
        self._probe_at = float("inf")
        self._success_count = 0

    @property
    def is_down(self) -> bool:
        """Whether direct calls have failed and the path is not restored yet."""
        return self._down.is_set()

    @property
    def is_probe_due(self) -> bool:
        """Whether the path is down and should be probed now."""
        return self.is_down and self._clock.monotonic() >= self._probe_at

    async def wait_until_down(self) -> None:
        """Wait until a direct call fails; return at once if the path is down."""
        await self._down.wait()

    def request_probe(self) -> None:
        """Let the path be probed soon, as the last failure may have another cause."""
        self._probe_at = min(self._probe_at, self._clock.monotonic())

    def record_failure(self) -> bool:
        """Record a failed direct call; return whether the path has gone down."""
        now = self._clock.monotonic()
        was_down = self.is_down
        self._failed_at = now
        self._probe_at = now + PROBE_DELAY_SECONDS
        self._success_count = 0
        self._down.set()
        return not was_down

    def record_success(self, sent_at: float) -> bool:
        """Record a successful direct call; return whether the path is restored.

        Args:
            sent_at: Monotonic time in seconds at which the call was sent. A call that
                was sent before the last failure restores nothing.
        """
        if not self.is_down or sent_at < self._failed_at:
            return False
        self._success_count += 1
        if self._success_count < SUCCESS_COUNT:
            self._probe_at = self._clock.monotonic() + PROBE_SPACING_SECONDS
            return False
        self._down.clear()
        return True
