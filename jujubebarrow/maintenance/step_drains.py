"""Drains of machines whose long-running tasks move only a few at a time."""

from collections import Counter

from jujubebarrow.maintenance.wave_choices import URGENT_FACTOR, MachineLoad
from jujubebarrow.workloads.identifiers import StepKey

MOVE_SECONDS = 2.5
"""Typical time from the stop of a long-running task until it is operating again."""
READY_COUNT = 1
"""Draining machines of a step beyond those whose tasks may move now, so that the next
task can move as soon as one is operating again."""


class StepDrains:
    """Counts the machines of each long-running step that limits its absent tasks.

    A machine that drains while such a step tolerates no further absence accepts no
    tasks, and uses up the wave's limit, without getting any closer to its maintenance.
    That holds whatever the cause of the absences is. Those of a drain end soon.

    Args:
        draining: Loads of the pool's machines that are draining.
        waiting: Loads of the pool's machines that wait for their maintenance.
    """

    def __init__(self, draining: list[MachineLoad], waiting: list[MachineLoad]):
        self._draining: Counter[StepKey] = Counter()
        self._remaining: Counter[StepKey] = Counter()
        for load in draining:
            self._draining.update(load.tolerated_absences.keys())
        for load in [*draining, *waiting]:
            self._remaining.update(load.tolerated_absences.keys())

    def add(self, load: MachineLoad) -> None:
        """Count a machine that waited as one that is draining from now on."""
        self._draining.update(load.tolerated_absences.keys())

    def admits(self, load: MachineLoad) -> bool:
        """Return whether the long-running tasks of a machine can move soon."""
        return all(
            self._draining[step] < tolerated + READY_COUNT
            and (self._draining[step] > 0 or load.absences.get(step, 0) < tolerated)
            for step, tolerated in load.tolerated_absences.items()
        )

    def is_urgent(self, load: MachineLoad, remaining: float) -> bool:
        """Return whether a step's moves must go on even while the pool is busy.

        Args:
            load: Load of a machine that waits for its maintenance.
            remaining: Time in seconds until the maintenance of every machine must have
                begun.
        """
        rounds = max(
            (
                -(-self._remaining[step] // tolerated)
                for step, tolerated in load.tolerated_absences.items()
            ),
            default=0,
        )
        return remaining < URGENT_FACTOR * rounds * MOVE_SECONDS
