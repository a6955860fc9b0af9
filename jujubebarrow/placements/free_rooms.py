"""Upper bound on the free resources of a set of workers."""

from collections.abc import Sequence

from jujubebarrow.coordinators.worker_views import WorkerView
from jujubebarrow.workloads.resources import NO_RESOURCES, Resources


class FreeRoom:
    """Largest free amount of each resource on any of a plan's workers.

    Most steps of a backlog fit on no worker. This bound tells so without a look at each
    worker.

    Args:
        workers: Workers of the plan.
    """

    def __init__(self, workers: Sequence[WorkerView]):
        self._workers = workers
        self._largest: Resources | None = None

    def may_fit(self, needs: Resources) -> bool:
        """Return False if no worker has enough free resources."""
        if self._largest is None:
            self._largest = self._find_largest()
        return needs.fits(self._largest)

    def invalidate(self) -> None:
        """Drop the bound, because the free resources of a worker have changed."""
        self._largest = None

    def _find_largest(self) -> Resources:
        if not self._workers:
            return NO_RESOURCES
        free_amounts = [worker.free for worker in self._workers]
        return Resources(*map(max, zip(*free_amounts, strict=True)))
