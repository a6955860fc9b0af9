"""What steps ask of the workers that run them."""

from collections.abc import Iterable
from typing import NamedTuple

from jujubebarrow.coordinators.worker_views import WorkerView
from jujubebarrow.workloads.resources import NO_RESOURCES, Resources


class StepKind(NamedTuple):
    """What the steps of a kind ask of the workers.

    Attributes:
        label: Label that the workers must have; empty if any worker will do.
        count: Number of tasks that have to start together.
        most_per_worker: Maximum number of a step's tasks on one worker; 0 for no limit.
        reserved: Resources of one task.
    """

    label: str = ""
    count: int = 1
    most_per_worker: int = 0
    reserved: Resources = NO_RESOURCES

    def count_places(self, worker: WorkerView) -> int:
        """Return how many tasks fit on a worker if it were empty, at most `count`."""
        if not worker.has_label(self.label):
            return 0
        return self.count_fitting(worker.capacity)

    def count_fitting(self, capacity: Resources) -> int:
        """Return how many tasks fit on an empty worker of a capacity."""
        limit = min(self.count, self.most_per_worker or self.count)
        return self.reserved.count_fitting(capacity, limit)

    def is_served(self, workers: Iterable[WorkerView]) -> bool:
        """Return whether a step fits on workers if they were empty."""
        places = 0
        for worker in workers:
            places += self.count_places(worker)
            if places >= self.count:
                return True
        return False

    def count_spare(self, places: list[int]) -> int:
        """Return how many workers that have places may be away at a time.

        Args:
            places: Number of places on each of the workers.
        """
        total = 0
        for number, count in enumerate(sorted(places, reverse=True)):
            total += count
            if total >= self.count:
                return len(places) - number - 1
        return 0
