"""Renews the reports of a pool's pending jobs."""

from asyncio import sleep

from jujubebarrow.runtimes.load_reports import LoadReports
from jujubebarrow.runtimes.owned_tasks import OwnedTasks
from jujubebarrow.runtimes.progress_writers import ProgressWriter

CHECK_PERIOD_SECONDS = 0.2
"""Time between two checks for reports that have to be renewed."""
RENEWAL_AGE_SECONDS = 1.0
"""Age from which a report is renewed by a transaction of its own; numbers that callers
receive must be at most 2 s old."""


class LoadReporter:
    """Renews each queue's report that no other transaction has renewed.

    Args:
        reports: Creates the rows of the reports.
        writer: Writer of rows that are protected by the owner's fence.
        tasks: Runs background tasks until the owner closes.
    """

    def __init__(self, reports: LoadReports, writer: ProgressWriter, tasks: OwnedTasks):
        self._reports = reports
        self._writer = writer
        self._tasks = tasks

    async def run(self) -> None:
        """Renew reports until cancelled."""
        while True:
            for queue in self._reports.list_due(RENEWAL_AGE_SECONDS):
                self._tasks.start(self._writer.write_report(queue))
            await sleep(CHECK_PERIOD_SECONDS)
