"""What the outcomes of a step's runs say about the workers that executed them."""

from collections import defaultdict

from jujubebarrow.workloads.identifiers import WorkerId

FAILED_WORKERS_COUNT = 2
"""Other workers on which work must have failed, without a success, from which on a
further failure is put down to the work; one of them may be faulty as well."""


class _Outcomes:
    """Outcomes of the same work on different workers."""

    def __init__(self) -> None:
        self.failed_workers: set[WorkerId] = set()
        self.has_succeeded = False

    def are_failures_own(self, worker: WorkerId) -> bool:
        """Return whether the work fails on other workers than the given one as well."""
        other_count = len(self.failed_workers - {worker})
        return not self.has_succeeded and other_count >= FAILED_WORKERS_COUNT


class RunEvidence:
    """Tells faulty workers from faulty work by comparison.

    A failed run speaks against its worker unless the same task, or all tasks of its
    step, have failed on other workers too and have never succeeded.
    """

    def __init__(self) -> None:
        self._step = _Outcomes()
        self._tasks: defaultdict[int, _Outcomes] = defaultdict(_Outcomes)

    def record_success(self, index: int) -> None:
        """Record a successful run.

        Args:
            index: Index of the task in its step.
        """
        self._step.has_succeeded = True
        self._tasks[index].has_succeeded = True

    def record_failure(self, index: int, worker: WorkerId) -> bool:
        """Record a failed run; return whether it speaks against the worker.

        Args:
            index: Index of the task in its step.
            worker: Worker that executed the run.
        """
        task = self._tasks[index]
        self._step.failed_workers.add(worker)
        task.failed_workers.add(worker)
        return not (
            task.are_failures_own(worker) or self._step.are_failures_own(worker)
        )
