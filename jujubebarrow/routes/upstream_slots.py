"""Slots of one upstream, as tracked by its home."""

from jujubebarrow.configurations.instance_records import Instance
from jujubebarrow.identifiers import UpstreamId
from jujubebarrow.routes.ejections import Ejection


class UpstreamSlots:
    """Occupied slots and health of one upstream.

    Args:
        upstream: Id of the upstream.
        instance: Configuration record of the upstream's instance.
        ejection: Circuit breaker of the upstream.
    """

    def __init__(self, upstream: UpstreamId, instance: Instance, ejection: Ejection):
        self.upstream = upstream
        self.instance = instance
        self.ejection = ejection
        self._running = 0
        self._blocked_until = float("-inf")
        self.last_response_at = float("-inf")

    @property
    def running(self) -> int:
        """Number of slots occupied by tasks of this home."""
        return self._running

    @property
    def load(self) -> float:
        """Share of the slots in use."""
        return self._running / self.instance.slots

    def block(self, until: float) -> None:
        """Send no task until a monotonic time in seconds, after a refused task."""
        self._blocked_until = until

    def has_free_capacity(self, now: float) -> bool:
        """Return whether a task may be sent at a monotonic time in seconds."""
        if self._running >= self.instance.slots or now < self._blocked_until:
            return False
        return self.ejection.can_admit()

    def occupy(self) -> None:
        """Occupy a slot with a task that is being sent."""
        self._running += 1
        self.ejection.record_start()

    def vacate(self) -> None:
        """Release a slot."""
        self._running -= 1
