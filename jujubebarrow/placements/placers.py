"""Choice of a worker for a task."""

from collections import Counter
from collections.abc import Iterable

from jujubebarrow.coordinators.worker_ledgers import WorkerLedger
from jujubebarrow.workloads.identifiers import WorkerId
from jujubebarrow.workloads.step_specs import StepSpec


def can_run(step: StepSpec, worker: WorkerLedger, run_count: int) -> bool:
    """Return whether a worker may run one more task of a step.

    Args:
        step: Step.
        worker: Worker.
        run_count: Tasks of the step that may be running on the worker.
    """
    if step.label and step.label not in worker.labels:
        return False
    if step.most_per_worker and run_count >= step.most_per_worker:
        return False
    return step.reserved.fits(worker.free)


def choose_worker(
    step: StepSpec,
    workers: Iterable[WorkerLedger],
    run_counts: Counter[WorkerId],
    avoided_worker: WorkerId | None,
) -> WorkerLedger | None:
    """Return the worker for a task, or None if none has placed_count.

    Near its data comes first, then a worker other than the one where it failed. A
    task that ends by itself goes to a worker with a long-running one: the others can
    be lent as soon as they are empty. Then comes the one with the most processor left:
    tasks disturb each other the less.

    Args:
        step: Step of the task.
        workers: Workers that take tasks.
        run_counts: Tasks of the step that may be at work, by worker.
        avoided_worker: Worker on which the task failed last.
    """
    best: WorkerLedger | None = None
    best_rank: tuple[bool, bool, bool, int] | None = None
    for worker in workers:
        if not can_run(step, worker, run_counts[worker.worker]):
            continue
        is_near_data = not step.data_rack or step.data_rack in worker.labels
        joins_long_running = worker.has_long_running and not step.long_running
        rank = (
            is_near_data,
            worker.worker != avoided_worker,
            joins_long_running,
            worker.free.cpu,
        )
        if best_rank is None or rank > best_rank:
            best, best_rank = worker, rank
    return best


def choose_gang(
    step: StepSpec, count: int, workers: list[WorkerLedger]
) -> list[WorkerLedger] | None:
    """Return a worker for each task of a gang, or None if not all find placed_count.

    Args:
        step: Step of the gang.
        count: Number of tasks.
        workers: Workers that take tasks.
    """
    racks: list[list[WorkerLedger]] = []
    if step.same_rack or step.data_rack:
        labels = {label for worker in workers for label in worker.labels}
        racks = [[w for w in workers if rack in w.labels] for rack in sorted(labels)]
        racks.sort(key=lambda group: step.data_rack not in group[0].labels)
    for group in [*racks, workers]:
        found = _fill(step, count, group)
        if found is not None:
            return found
    return None


def _fill(
    step: StepSpec, count: int, workers: list[WorkerLedger]
) -> list[WorkerLedger] | None:
    chosen: list[WorkerLedger] = []
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
