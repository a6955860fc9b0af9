"""Limit on how many workers recent failures may keep from new tasks."""

from collections.abc import Iterable

from jujubebarrow.coordinators.worker_views import WorkerView
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

PAUSED_SHARE_LIMIT = 0.5
"""Largest share of the workers that suit a step which may be paused at the same time.
If more of them fail, the failures say little about each one of them."""


def find_needed_workers(
    unpaused: list[WorkerView],
    paused: list[WorkerView],
    steps: Iterable[StepSpec],
    now: float,
) -> list[WorkerView]:
    """Return the paused workers that get new tasks all the same.

    The first part of a pause is kept in any case.

    Args:
        unpaused: Workers that accept tasks.
        paused: Workers that would accept tasks if they were not paused.
        steps: Steps with waiting tasks.
        now: Time in seconds.
    """
    needed: dict[str, WorkerView] = {}
    checked: set[tuple[str, Resources, int, int]] = set()
    for step in steps:
        count = step.count if step.gang else 1
        kind = (step.label, step.reserved, count, step.most_per_worker)
        if kind in checked or len(needed) == len(paused):
            continue
        checked.add(kind)
        others = [worker for worker in paused if _suits(step, worker)]
        suited = [worker for worker in unpaused if _suits(step, worker)]
        limit = PAUSED_SHARE_LIMIT * (len(suited) + len(others))
        room = sum(_count_places(step, worker, count) for worker in suited)
        if len(others) > limit or room < count:
            needed.update((worker.worker, worker) for worker in others)
    return [worker for worker in needed.values() if worker.score.may_end_pause(now)]


def _suits(step: StepSpec, worker: WorkerView) -> bool:
    """Return whether a worker could run a task of a step if it were empty."""
    return worker.has_label(step.label) and step.reserved.fits(worker.capacity)


def _count_places(step: StepSpec, worker: WorkerView, limit: int) -> int:
    """Return how many tasks of a step fit on an empty worker, at most a limit."""
    return step.reserved.count_fitting(worker.capacity, step.most_per_worker or limit)
