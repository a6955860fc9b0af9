"""Tracking of instances that are absent from the platform's instance list."""

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.stores.instance_lists import InstanceList, ListedState


class AbsenceTracker:
    """Distinguishes terminated instances from instances that are not yet listed.

    Args:
        clock: Clock that measures absences.
        terminated_after: Absence in seconds that proves that an instance is terminated.
    """

    def __init__(self, clock: Clock, terminated_after: float):
        self._clock = clock
        self._terminated_after = terminated_after
        self._listing: InstanceList | None = None
        self._polled_at = float("-inf")
        self._reported_leaving: frozenset[str] = frozenset()
        self._absent_since: dict[str, float] = {}
        self._tracked: set[str] = set()

    @property
    def leaving(self) -> frozenset[str]:
        """Instances listed as leaving, by this instance's or a peer's last poll."""
        return self.listed_leaving | self._reported_leaving

    @property
    def listed_leaving(self) -> frozenset[str]:
        """Instances listed as leaving, by this instance's last poll."""
        if self._listing is None:
            return frozenset()
        return frozenset(
            name
            for name, state in self._listing.instances.items()
            if state is ListedState.LEAVING
        )

    def set_reported_leaving(self, leaving: frozenset[str]) -> bool:
        """Record the instances that peers with access to the platform list as leaving.

        Returns:
            Whether the reported instances have changed.
        """
        has_changed = leaving != self._reported_leaving
        self._reported_leaving = leaving
        return has_changed

    def update(self, listing: InstanceList) -> None:
        """Apply the result of a new poll of the platform's instance list."""
        self._listing = listing
        now = self._clock.monotonic()
        self._polled_at = now
        for name in listing.instances:
            self._tracked.add(name)
            self._absent_since.pop(name, None)
        for name in self._tracked - set(listing.instances):
            self._absent_since.setdefault(name, now)

    def track(self, name: str) -> None:
        """Track an instance that was listed before this process started."""
        self._tracked.add(name)

    def absent_instances(self) -> list[str]:
        """Return the tracked instances that the last poll does not list."""
        return list(self._absent_since)

    def is_listed(self, name: str) -> bool:
        """Return whether the last poll lists the instance."""
        return self._listing is not None and name in self._listing.instances

    def is_terminated(self, name: str) -> bool:
        """Return whether the absence proves that an instance is terminated.

        Only time up to the last poll counts, since the instance may have been listed
        after it.
        """
        since = self._absent_since.get(name)
        if since is None:
            return False
        return self._polled_at - since >= self._terminated_after
