"""Times for which an owner has not served its duties."""

from jujubebarrow.ownerships.ownership_rows import DutyId

SERVICE_GAP_LIMIT_SECONDS = 6.0
"""Seconds without service, in which others reached the store, after which a duty is
released; several times the duration of a takeover with a slow store. Doubled with each
release, since the state may take longer to load on any instance."""
RECOVERY_FACTOR = 0.5
"""Seconds without service that a second of service makes up for, so that an owner that
serves only now and then does not keep a duty."""


class ServiceGaps:
    """Adds up how long each owned duty is not served."""

    def __init__(self) -> None:
        self._gaps: dict[DutyId, float] = {}
        self._limits: dict[DutyId, float] = {}

    def start(self, duty: DutyId) -> None:
        """Start tracking a duty that has just been claimed."""
        self._gaps[duty] = 0.0

    def remove(self, duty: DutyId) -> None:
        """Stop tracking a duty that is no longer owned."""
        self._gaps.pop(duty, None)

    def add_service(self, duty: DutyId, seconds: float) -> None:
        """Record that a duty was served for some time."""
        self._gaps[duty] = max(0.0, self._gaps[duty] - seconds * RECOVERY_FACTOR)

    def add_gap(self, duty: DutyId, seconds: float) -> None:
        """Record that a duty was not served while other instances reached the store."""
        self._gaps[duty] += seconds

    def is_overdue(self, duty: DutyId) -> bool:
        """Return whether a duty has not been served for too long."""
        return self._gaps[duty] > self._find_limit(duty)

    def record_release(self, duty: DutyId) -> None:
        """Double the limit for the next time that this instance owns a duty."""
        self._limits[duty] = 2 * self._find_limit(duty)

    def _find_limit(self, duty: DutyId) -> float:
        return self._limits.get(duty, SERVICE_GAP_LIMIT_SECONDS)
