"""How long instances have been missing from the platform's list."""

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.stores.listings import ListedState, Listing


class AbsenceTracker:
    """Tells instances that have ended from those that are not yet listed.

    Args:
        clock: Time source.
        gone_after: Seconds of absence that prove the end of an instance.
    """

    def __init__(self, clock: Clock, gone_after: float):
        self._clock = clock
        self._gone_after = gone_after
        self._listing: Listing | None = None
        self._reported: frozenset[str] = frozenset()
        self._absent_since: dict[str, float] = {}
        self._seen: set[str] = set()

    @property
    def leaving(self) -> frozenset[str]:
        """Instances that are leaving by the own reading or by those of peers."""
        return self.listed_leaving | self._reported

    @property
    def listed_leaving(self) -> frozenset[str]:
        """Instances that the platform lists as leaving, by the own reading."""
        if self._listing is None:
            return frozenset()
        return frozenset(
            name
            for name, state in self._listing.instances.items()
            if state is ListedState.LEAVING
        )

    def report(self, leaving: frozenset[str]) -> bool:
        """Take over what peers read that reach the platform.

        Returns:
            Whether it changed.
        """
        changed = leaving != self._reported
        self._reported = leaving
        return changed

    def update(self, listing: Listing) -> None:
        """Take over a reading of the list."""
        self._listing = listing
        now = self._clock.monotonic()
        for name in listing.instances:
            self._seen.add(name)
            self._absent_since.pop(name, None)
        for name in self._seen - set(listing.instances):
            self._absent_since.setdefault(name, now)

    def expect(self, name: str) -> None:
        """Watch an instance that was listed before this process started."""
        self._seen.add(name)

    def missing(self) -> list[str]:
        """Return instances that the last readings did not have."""
        return list(self._absent_since)

    def is_listed(self, name: str) -> bool:
        """Return whether the last reading has the instance."""
        return self._listing is not None and name in self._listing.instances

    def is_gone(self, name: str) -> bool:
        """Return whether the instance has ended for certain."""
        since = self._absent_since.get(name)
        if since is None:
            return False
        return self._clock.monotonic() - since >= self._gone_after
