"""Slots of one upstream as its home instance sees them."""

from jujubebarrow.configurations.instance_records import Instance
from jujubebarrow.identifiers import UpstreamId
from jujubebarrow.routes.ejections import Ejection


class UpstreamSlots:
    """Running tasks and health of one upstream.

    Args:
        upstream: Instance id.
        instance: Its record.
        ejection: Its circuit breaker.
    """

    def __init__(self, upstream: UpstreamId, instance: Instance, ejection: Ejection):
        self.upstream = upstream
        self.instance = instance
        self.ejection = ejection
        self._running = 0
        self._blocked_until = float("-inf")
        self.last_answer = float("-inf")

    @property
    def running(self) -> int:
        """Tasks sent and not yet ended."""
        return self._running

    @property
    def load(self) -> float:
        """Part of the slots in use."""
        return self._running / self.instance.slots

    def block(self, until: float) -> None:
        """Send nothing before a monotonic time, after the upstream refused."""
        self._blocked_until = until

    def has_room(self, now: float) -> bool:
        """Return whether a task may be sent now."""
        if self._running >= self.instance.slots or now < self._blocked_until:
            return False
        return self.ejection.admits()

    def occupy(self) -> None:
        """Take a slot."""
        self._running += 1
        self.ejection.start()

    def vacate(self) -> None:
        """Give a slot back."""
        self._running -= 1
