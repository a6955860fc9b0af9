"""Tells all instances how much work a pool has waiting."""

from asyncio import sleep
from typing import Any

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.identifiers import PoolId, QueueId
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.job_rows import load_row
from jujubebarrow.runtimes.progress_writers import DisplacedError, ProgressWriter

PERIOD = 0.8
"""Seconds between reports of a load that changes; callers are told at most 2 s
old ones."""


class LoadReporter:
    """Writes the load of each queue when it has changed.

    Args:
        pool: Pool.
        coordinator: Decisions on the pool.
        writer: Writes under the owner's fence.
        clock: Time source.
        metrics: Counters.
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
        self._told: dict[str, int] = {}

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            for name, pending in self._coordinator.demand.count_pending().items():
                queue = QueueId(name)
                if self._told.get(name) != pending and self._writer.has_fence(queue):
                    await self._report(queue, pending)
            await sleep(PERIOD)

    async def _report(self, queue: QueueId, pending: int) -> None:
        document: dict[str, Any] = {"pending": pending}
        try:
            await self._writer.write_row(queue, load_row(queue, self._pool), document)
        except DisplacedError:
            self._metrics.count("load_report_failed", "displaced")
            return
        self._told[queue] = pending
