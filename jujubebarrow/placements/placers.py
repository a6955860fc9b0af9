"""Selection of workers for tasks."""

from collections import Counter
from collections.abc import Iterable

from jujubebarrow.coordinators.worker_views import WorkerView
from jujubebarrow.workloads.identifiers import WorkerId
from jujubebarrow.workloads.step_specs import StepSpec


def can_run(
    step: StepSpec,
    worker: WorkerView,
    run_count: int,
    ignores_late_starts: bool = False,
) -> bool:
    """Return whether a worker may run one more task of a step.

    Args:
        step: Step of the task.
        worker: Worker that is considered.
        run_count: Tasks of the step that may be running on the worker.
        ignores_late_starts: Whether the task only has to fit beside the present runs.
    """
    if worker.has_unproven_suspect:
        return False
    if not worker.has_label(step.label):
        return False
    if step.most_per_worker and run_count >= step.most_per_worker:
        return False
    return step.reserved.fits(worker.unreserved if ignores_late_starts else worker.free)


def choose_worker(
    step: StepSpec,
    workers: Iterable[WorkerView],
    run_counts: Counter[WorkerId],
    avoided_worker: WorkerId | None,
    is_suspect: bool = False,
    ignores_late_starts: bool = False,
) -> WorkerView | None:
    """Return the worker for a task, or None if no worker is suitable.

    A worker near the task's data ranks first, then any worker other than the one on
    which the task last failed or stalled. A long-running task prefers a worker whose
    machine no wave will maintain soon, since it would have to move again. A finite task
    prefers a worker that already runs tasks of its step, since a job is as late as its
    last task: spread over all workers, each job would be hit by each worker that is
    lost or fails. Next comes a worker with a long-running task, so that the others
    become empty and can be lent.
    Then the worker with the most free processor capacity ranks first, because tasks on
    that worker interfere less with each other.

    Args:
        step: Step of the task.
        workers: Workers that accept tasks.
        run_counts: Number of the step's active runs, by worker.
        avoided_worker: Worker on which the task last failed or stalled.
        is_suspect: Whether the task may crash its worker; it is kept away from other
            runs, most of all from long-running tasks.
        ignores_late_starts: Whether the task only has to fit beside the present runs.
    """
    best: WorkerView | None = None
    best_rank: tuple[bool, bool, bool, bool, int, int] | None = None
    for worker in workers:
        run_count = run_counts[worker.worker]
        if not can_run(step, worker, run_count, ignores_late_starts):
            continue
        is_near_data = not step.data_rack or step.data_rack in worker.labels
        if is_suspect:
            preference = (not worker.has_long_running) + (not worker.runs)
        else:
            preference = int(worker.has_long_running and not step.long_running)
        has_step = (
            not (step.long_running or is_suspect) and run_counts[worker.worker] > 0
        )
        rank = (
            is_near_data,
            worker.worker != avoided_worker,
            not (step.long_running and worker.score.is_maintenance_due),
            has_step,
            preference,
            worker.free.cpu,
        )
        if best_rank is None or rank > best_rank:
            best, best_rank = worker, rank
    return best


def choose_gang(
    step: StepSpec, count: int, workers: list[WorkerView]
) -> list[WorkerView] | None:
    """Return a worker for each task of a gang, or None if the gang does not fit.

    If the step names a data rack or should stay within one rack, groups of workers with
    a common label are tried before all workers together, the data rack's group first.

    Args:
        step: Step of the gang.
        count: Number of tasks in the gang.
        workers: Workers that accept tasks.
    """
    groups: list[list[WorkerView]] = []
    if step.same_rack or step.data_rack:
        labels = {label for worker in workers for label in worker.labels}
        groups = [[w for w in workers if label in w.labels] for label in sorted(labels)]
        groups.sort(key=lambda group: step.data_rack not in group[0].labels)
    for group in [*groups, workers]:
        found = _place_gang(step, count, group)
        if found is not None:
            return found
    return None


def _place_gang(
    step: StepSpec, count: int, workers: list[WorkerView]
) -> list[WorkerView] | None:
    chosen: list[WorkerView] = []
    for worker in sorted(workers, key=lambda worker: -worker.free.cpu):
        placed_count = 0
        while (
            len(chosen) < count
            and can_run(step, worker, placed_count)
            and step.reserved.times(placed_count + 1).fits(worker.free)
        ):
            chosen.append(worker)
            placed_count += 1
    return chosen if len(chosen) == count else None
