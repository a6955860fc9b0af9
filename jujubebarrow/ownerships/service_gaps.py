"""Times for which an owner has not served its duties."""

from jujubebarrow.ownerships.ownership_rows import DutyId

SERVICE_GAP_LIMIT_SECONDS = 6.0
"""Seconds without service, with the store in reach, after which a duty is released;
several times the duration of a takeover with a slow store. Doubled with each release,
since the state may take longer to load on any instance."""


class ServiceGaps:
    """Tracks since when each owned duty is not served."""

    def __init__(self) -> None:
        # Time at which each duty was last served, or could first have been.
        self._served_at: dict[DutyId, float] = {}
        self._limits: dict[DutyId, float] = {}

    def record_served(self, duty: DutyId, now: float) -> None:
        """Record that a duty is served, or has just been claimed."""
        self._served_at[duty] = now

    def restart(self, now: float) -> None:
        """Leave out the time up to now, in which no instance could have served."""
        self._served_at = dict.fromkeys(self._served_at, now)

    def remove(self, duty: DutyId) -> None:
        """Stop tracking a duty that is no longer owned."""
        self._served_at.pop(duty, None)

    def is_overdue(self, duty: DutyId, now: float) -> bool:
        """Return whether a duty has not been served for too long."""
        return now - self._served_at[duty] > self._find_limit(duty)

    def record_release(self, duty: DutyId) -> None:
        """Double the limit for the next time that this instance owns a duty."""
        self._limits[duty] = 2 * self._find_limit(duty)

    def _find_limit(self, duty: DutyId) -> float:
        return self._limits.get(duty, SERVICE_GAP_LIMIT_SECONDS)
