"""Drains of machines whose long-running tasks cannot move."""

from jujubebarrow.maintenance.step_drains import MOVE_SECONDS
from jujubebarrow.maintenance.wave_choices import DRAIN_GRACE_SECONDS
from jujubebarrow.workloads.identifiers import MachineId

BLOCKED_SECONDS = DRAIN_GRACE_SECONDS + MOVE_SECONDS
"""Time without progress after which a drain counts as blocked; longer than the grace
period, after which some tasks may be interrupted, and than the move of another task."""

DrainKey = tuple[int, MachineId]
"""Wave and machine."""


class BlockedDrains:
    """Recognises drains that make no progress, and keeps them from being repeated.

    The worker of a machine that drains accepts no tasks, and the machine counts against
    the wave's limit. Neither is of use while its tasks can't be stopped.
    """

    def __init__(self) -> None:
        self._progress: dict[DrainKey, tuple[int, float]] = {}
        self._unstored: set[DrainKey] = set()
        self._taken_back: set[DrainKey] = set()

    def record_held(self, key: DrainKey, count: int, now: float) -> bool:
        """Record how many long-running tasks can't move; return whether that lasts.

        Args:
            key: Wave and machine.
            count: Number of the tasks.
            now: Time in seconds.
        """
        lowest, since = self._progress.get(key, (count, now))
        if count < lowest or not count:
            lowest, since = count, now
        self._progress[key] = (lowest, since)
        return now - since > BLOCKED_SECONDS

    def take_back(self, key: DrainKey) -> None:
        """Give a drain up for the time being."""
        self._progress.pop(key, None)
        self._unstored.add(key)
        self._taken_back.add(key)

    def mark_stored(self, key: DrainKey) -> None:
        """Record that the store shows a drain as taken back, or as another's."""
        self._unstored.discard(key)

    def is_unstored(self, key: DrainKey) -> bool:
        """Return whether the store may still show a drain that has been taken back."""
        return key in self._unstored

    def was_taken_back(self, key: DrainKey) -> bool:
        """Return whether a drain has been taken back before."""
        return key in self._taken_back
