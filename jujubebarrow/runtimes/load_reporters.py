"""Publishes the number of jobs that wait in a pool."""

from asyncio import sleep
from typing import Any

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.identifiers import PoolId, QueueId
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.job_rows import load_row
from jujubebarrow.runtimes.progress_writers import DisplacedError, ProgressWriter

REPORT_PERIOD_SECONDS = 0.8
"""Time between two reports; loads that callers receive must be at most 2 s old."""


class LoadReporter:
    """Writes the load of each queue when the load has changed.

    Args:
        pool: Pool whose load is reported.
        coordinator: Coordinator of the pool.
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
        """Report changed loads until cancelled."""
        while True:
            for name, pending in self._coordinator.demand.count_pending().items():
                queue = QueueId(name)
                if self._reported.get(name) != pending and self._writer.has_fence(
                    queue
                ):
                    await self._report(queue, pending)
            await sleep(REPORT_PERIOD_SECONDS)

    async def _report(self, queue: QueueId, pending: int) -> None:
        document: dict[str, Any] = {"pending": pending}
        try:
            await self._writer.write_row(queue, load_row(queue, self._pool), document)
        except DisplacedError:
            self._metrics.count("load_report_failed", "displaced")
            return
        self._reported[queue] = pending
