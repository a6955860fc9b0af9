"""Whether the owner of a pool gets its work done."""

from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.ownerships.service_obstacles import ServiceObstacle
from jujubebarrow.runtimes.progress_writers import ProgressWriter

PROGRESS_LAG_LIMIT_SECONDS = 2.0
"""Longest time without an outcome of a transaction while the pool counts as served;
callers are promised that counts of waiting jobs are at most 2 s old."""


class OwnerHealth:
    """Tells why a loaded pool is not served in time.

    Args:
        coordinator: Knows the pool's workers.
        writer: Stores the progress of the pool's jobs.
    """

    def __init__(self, coordinator: PoolCoordinator, writer: ProgressWriter):
        self._coordinator = coordinator
        self._writer = writer

    def find_obstacle(self) -> ServiceObstacle | None:
        """Return why the pool is not served in time; None if it is."""
        if self._writer.unanswered_seconds > PROGRESS_LAG_LIMIT_SECONDS:
            return ServiceObstacle.PROGRESS_UNSTORED
        return None if self._reaches_workers() else ServiceObstacle.NO_WORKERS

    def _reaches_workers(self) -> bool:
        """Return whether any registered worker responds, or none is registered."""
        registered = [
            worker
            for worker in self._coordinator.state.workers.values()
            if worker.entry is not None
        ]
        return not registered or any(
            not worker.unresponsive_since for worker in registered
        )
