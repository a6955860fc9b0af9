"""Limit on how many workers drains may keep from new tasks."""

from collections.abc import Callable, Iterable

from jujubebarrow.coordinators.worker_views import WorkerView
from jujubebarrow.placements.step_kinds import StepKind
from jujubebarrow.workloads.identifiers import WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

MEMORY_SECONDS = 60.0
"""Time for which a kind of step counts after the last step of that kind."""


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
        rows = [(worker.worker, worker.labels, worker.capacity) for worker in waiting]
        member_rows = [(worker.labels, worker.capacity) for worker in members]
        capacities = {capacity for *_, capacity in [*rows, *member_rows]}
        for kind in self._kinds:
            label = kind.label
            # There are many kinds and workers, but few capacities.
            fitting = {
                capacity: kind.count_fitting(capacity) for capacity in capacities
            }
            suited = [
                worker
                for worker, labels, capacity in rows
                if fitting[capacity] and (not label or label in labels)
            ]
            if not suited:
                continue
            spare_count = kind.count_spare(
                [
                    fitting[capacity]
                    for labels, capacity in member_rows
                    if fitting[capacity] and (not label or label in labels)
                ]
            )
            if spare_count and is_urgent(len(suited), spare_count):
                urgent.update(suited)
        return urgent
