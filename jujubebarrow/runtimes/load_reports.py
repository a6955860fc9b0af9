"""Reports of the number of a pool's pending jobs, which have no started task yet."""

from collections.abc import Callable
from math import floor
from typing import Any

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.identifiers import PoolId, QueueId
from jujubebarrow.runtimes.job_row_keys import make_load_key

ATTACH_AGE_SECONDS = 0.5
"""Age from which a report is renewed by a transaction that is sent anyway."""
PENDING = "pending"
AT = "at"


class LoadReports:
    """Creates the rows that report the number of pending jobs of each queue.

    A report carries the time of the store's clock at which the jobs were counted, so
    that a reader can tell how old the number is.

    Args:
        pool: Pool whose pending jobs are counted.
        coordinator: Makes the scheduling decisions of the pool.
        read_store_time: Returns the present time of the store's clock in seconds, which
            is never too late; None if accepted jobs of the queue may be missing.
        clock: Time source.
    """

    def __init__(
        self,
        pool: PoolId,
        coordinator: PoolCoordinator,
        read_store_time: Callable[[QueueId], float | None],
        clock: Clock,
    ):
        self._pool = pool
        self._coordinator = coordinator
        self._read_store_time = read_store_time
        self._clock = clock
        self._counted_at: dict[QueueId, float] = {}

    def list_due(self, age: float) -> list[QueueId]:
        """Return the queues whose stored report was counted at least an age ago.

        Args:
            age: Age in seconds.
        """
        names = {job.record.queue for job in self._coordinator.state.jobs.values()}
        return [QueueId(name) for name in sorted(names) if self._is_due(name, age)]

    def _is_due(self, queue: QueueId, age: float) -> bool:
        counted_at = self._counted_at.get(queue, float("-inf"))
        return self._clock.monotonic() - counted_at >= age

    def make_rows(self, queue: QueueId) -> dict[str, dict[str, Any]]:
        """Return the row with the report of a queue, by its key.

        Returns an empty dictionary if the stored report is recent or if accepted jobs
        may be missing.
        """
        if not self._is_due(queue, ATTACH_AGE_SECONDS):
            return {}
        store_time = self._read_store_time(queue)
        pending = self._coordinator.demand.count_pending().get(queue)
        if store_time is None or pending is None:
            return {}
        at = floor(store_time * 1000) / 1000
        return {make_load_key(queue, self._pool): {PENDING: pending, AT: at}}

    def record_stored(self, queue: QueueId, counted_at: float) -> None:
        """Record that a report has been stored.

        Args:
            queue: Queue of the report.
            counted_at: Monotonic time in seconds at which the jobs were counted.
        """
        self._counted_at[queue] = counted_at
