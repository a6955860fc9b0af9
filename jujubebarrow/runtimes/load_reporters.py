"""Publishes the number of a pool's pending jobs, which have no started task yet."""

from asyncio import sleep
from typing import Any

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.identifiers import PoolId, QueueId
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.job_row_keys import make_load_key
from jujubebarrow.runtimes.progress_writers import DisplacedError, ProgressWriter

REPORT_PERIOD_SECONDS = 0.8
"""Time between two reports; loads that callers receive must be at most 2 s old."""


class LoadReporter:
    """Writes the number of pending jobs of each queue when the number has changed.

    Args:
        pool: Pool whose pending jobs are counted.
        coordinator: Makes the scheduling decisions of the pool.
        writer: Writer of rows that are protected by the owner's fence.
        clock: Time source.
        metrics: Registry of the counters.
    """

    def __init__(
        self,
        pool: PoolId,
        coordinator: PoolCoordinator,
        writer: ProgressWriter,
        clock: Clock,
        metrics: MetricsRegistry,
    ):
        self._pool = pool
        self._coordinator = coordinator
        self._writer = writer
        self._clock = clock
        self._metrics = metrics
        self._reported: dict[str, int] = {}

    async def run(self) -> None:
        """Report changed numbers of pending jobs until cancelled."""
        while True:
            for name, pending_count in self._coordinator.demand.count_pending().items():
                queue = QueueId(name)
                if self._reported.get(name) != pending_count and self._writer.has_fence(
                    queue
                ):
                    await self._report(queue, pending_count)
            await sleep(REPORT_PERIOD_SECONDS)

    async def _report(self, queue: QueueId, pending_count: int) -> None:
        document: dict[str, Any] = {"pending": pending_count}
        try:
            await self._writer.write_row(
                queue, make_load_key(queue, self._pool), document
            )
        except DisplacedError:
            self._metrics.count("load_report_failed", "displaced")
            return
        self._reported[queue] = pending_count
