"""Limit on how many workers drains may keep from new tasks."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from jujubebarrow.coordinators.worker_views import WorkerView
from jujubebarrow.workloads.identifiers import WorkerId
from jujubebarrow.workloads.resources import NO_RESOURCES, Resources
from jujubebarrow.workloads.step_specs import StepSpec

MEMORY_SECONDS = 60.0
"""Time for which a kind of step counts after the last step of that kind."""


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
        """Return how many tasks fit in the capacity of a worker, at most `count`."""
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

    def count_missing(self, workers: Iterable[WorkerView]) -> int:
        """Return how many workers a step lacks on workers if they were empty.

        Those that are missing are taken to be like the best of the workers. If none of
        these has a place, what the step lacks is not known, and 0 is returned.
        """
        places = list(map(self.count_places, workers))
        most = max(places, default=0)
        return max(0, -((sum(places) - self.count) // most)) if most else 0

    def count_spare(self, workers: Iterable[WorkerView]) -> int:
        """Return how many of the workers that have places may be away at a time."""
        places = sorted(filter(None, map(self.count_places, workers)), reverse=True)
        total = 0
        for number, count in enumerate(places):
            total += count
            if total >= self.count:
                return len(places) - number - 1
        return 0


ANY_KIND = StepKind()
"""Kind of a step that any worker can serve."""


class DrainLimit:
    """Tells which workers a pool can spare, by the kinds of its steps.

    The workers that accept tasks have to suffice for a step of each kind, unless the
    pool could never serve that kind without the worker. Callers may ask for a kind
    again soon after the last step of that kind has ended. Of the kinds that differ in
    their resources only, those count that need most of a resource.
    """

    def __init__(self) -> None:
        self._seen_at: dict[tuple[StepKind, int], tuple[Resources, float]] = {}
        self._kinds = {ANY_KIND}

    def record_steps(self, steps: Iterable[StepSpec], now: float) -> None:
        """Record the steps that are not done.

        Args:
            steps: Steps of the pool's jobs.
            now: Time in seconds.
        """
        for key, (_, seen_at) in list(self._seen_at.items()):
            if now - seen_at > MEMORY_SECONDS:
                del self._seen_at[key]
        for step in steps:
            count = step.count if step.gang else 1
            group = StepKind(step.label, count, step.most_per_worker)
            for resource, amount in enumerate(step.reserved):
                known = self._seen_at.get((group, resource))
                if known is None or amount >= known[0][resource]:
                    self._seen_at[group, resource] = (step.reserved, now)
        self._kinds = {ANY_KIND} | {
            group._replace(reserved=reserved)
            for (group, _), (reserved, _) in self._seen_at.items()
        }

    def can_spare(
        self,
        worker: WorkerView,
        accepting: list[WorkerView],
        members: list[WorkerView],
        returning: list[tuple[str, ...]],
    ) -> bool:
        """Return whether the pool goes on without a worker.

        Args:
            worker: Worker that is to accept no more tasks.
            accepting: Workers that accept tasks.
            members: Workers of the pool that accept tasks, or may accept them later.
            returning: Labels of each machine of the pool whose worker is not
                registered; its capacity is not known.
        """
        rest = [other for other in accepting if other is not worker]
        others = [other for other in members if other is not worker]
        for kind in self._kinds:
            if not kind.count_places(worker) or kind.is_served(rest):
                continue
            comes_back = any(not kind.label or kind.label in row for row in returning)
            if comes_back or kind.is_served(others):
                return False
        return True

    def find_urgent(
        self,
        waiting: list[WorkerView],
        members: list[WorkerView],
        is_urgent: Callable[[int, int], bool],
    ) -> set[WorkerId]:
        """Return the workers whose kinds leave too little time for their drains.

        Args:
            waiting: Workers whose machines wait for their maintenance.
            members: Registered workers of the pool.
            is_urgent: Returns whether a number of machines, of which a number may be
                in maintenance at the same time, has to be drained from now on.
        """
        urgent: set[WorkerId] = set()
        for kind in self._kinds:
            suited = [worker for worker in waiting if kind.count_places(worker)]
            if not suited:
                continue
            spare_count = kind.count_spare(members)
            if spare_count and is_urgent(len(suited), spare_count):
                urgent.update(worker.worker for worker in suited)
        return urgent
