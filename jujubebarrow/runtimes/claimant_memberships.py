"""Makes this instance a claimant of duties while there are too few."""

from collections.abc import Awaitable, Callable
from random import Random

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.ownerships.claimant_policies import ClaimantPolicy
from jujubebarrow.ownerships.lease_observers import LeaseObserver
from jujubebarrow.runtimes.lease_renewers import LeaseRenewer

STARTUP_SECONDS = 4.0
"""Seconds after this instance's start in which other instances may be starting, too."""
JOIN_CHECK_SECONDS = 0.5
"""Seconds between two checks whether this instance should become a claimant."""
START_CHECK_SECONDS = 0.02
"""Seconds between two such checks until the heartbeats have been read, and the shortest
time between any two."""
LEAVE_SECONDS = (4.0, 10.0)
"""Range of the time for which too many claimants are preferred to this one before it
leaves; different for each, so that not too many leave at once."""


class ClaimantMembership:
    """Joins and leaves the claimants as the policy demands.

    Args:
        policy: Decides whether this instance should be a claimant.
        observer: Tracks the claimants that are alive.
        read_heartbeats: Reads the heartbeats at once; returns whether that succeeded.
        renewer: Renews the lease while this instance is a claimant.
        random: Random generator of the delays.
        clock: Time source.
    """

    def __init__(
        self,
        policy: ClaimantPolicy,
        observer: LeaseObserver,
        read_heartbeats: Callable[[], Awaitable[bool]],
        renewer: LeaseRenewer,
        random: Random,
        clock: Clock,
    ):
        self._policy = policy
        self._observer = observer
        self._read_heartbeats = read_heartbeats
        self._renewer = renewer
        self._random = random
        self._clock = clock
        self._started_at = clock.monotonic()
        self._has_decided = False
        self._join_at: float | None = None
        self._surplus_until: float | None = None

    @property
    def is_starting(self) -> bool:
        """Whether this instance, and perhaps all others, started a short time ago."""
        return self._clock.monotonic() < self._started_at + STARTUP_SECONDS

    @property
    def seconds_to_check(self) -> float:
        """Seconds until the next check whether to join."""
        if self._join_at is not None:
            seconds = max(START_CHECK_SECONDS, self._join_at - self._clock.monotonic())
            return min(JOIN_CHECK_SECONDS, seconds)
        return JOIN_CHECK_SECONDS if self._has_decided else START_CHECK_SECONDS

    async def join_if_wanted(self, duty_count: int) -> None:
        """Become a claimant if there are too few, after a random delay.

        Args:
            duty_count: Number of duties.
        """
        now = self._clock.monotonic()
        if not self._observer.is_current(now) or not duty_count:
            return
        is_first, self._has_decided = not self._has_decided, True
        if not self._policy.is_wanted(duty_count, now):
            self._join_at = None
        elif self._join_at is None:
            self._join_at = now + self._policy.choose_delay(duty_count, is_first, now)
        elif now >= self._join_at:
            self._join_at = None
            is_late = not self.is_starting
            if await self._read_heartbeats() and self._policy.is_wanted(
                duty_count, self._clock.monotonic()
            ):
                self._renewer.join(is_late)

    def leave_if_surplus(self, duty_count: int, owns_duties: bool) -> None:
        """Stop being a claimant if enough others have been preferred for some time.

        Args:
            duty_count: Number of duties.
            owns_duties: Whether this instance owns any of them.
        """
        now = self._clock.monotonic()
        if owns_duties or not self._policy.is_surplus(duty_count, now):
            self._surplus_until = None
        elif self._surplus_until is None:
            self._surplus_until = now + self._random.uniform(*LEAVE_SECONDS)
        elif now >= self._surplus_until:
            self._surplus_until = None
            self._renewer.leave()
