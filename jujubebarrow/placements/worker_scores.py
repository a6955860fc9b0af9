"""Suitability of workers for new tasks: recent failures and due maintenance."""

from collections import deque

from jujubebarrow.identifiers import JobId

WINDOW_COUNT = 12
"""Number of recent runs that are considered; enough to tell a failing worker from a
failing job."""
FAILURE_SHARE = 0.5
"""Share of failed runs from which a worker is paused."""
FAILED_JOBS_COUNT = 2
"""Distinct jobs of which a run must have failed, because a faulty job fails on every
worker."""
FIRST_PAUSE_SECONDS = 2.0
"""Length of the first pause; each further pause is twice as long."""
SHORTEST_PAUSE_SECONDS = 0.5
"""Part of a pause that is kept even if the worker is needed, so that starts to workers
that refuse all of them do not follow each other without a break."""
MAX_PAUSE_SECONDS = 16.0
"""Longest pause; some seconds longer than a restart of a worker."""


class WorkerScore:
    """Outcomes of recent runs on one worker, and whether it will soon be maintained.

    Attributes:
        is_maintenance_due: Whether the worker's machine still has to be maintained for
            an active wave, so that long-running tasks on the worker will have to move.
    """

    def __init__(self) -> None:
        self.is_maintenance_due = False
        self._outcomes: deque[tuple[JobId, bool]] = deque(maxlen=WINDOW_COUNT)
        self._paused_at = float("-inf")
        self._paused_until = 0.0
        self._pause_seconds = FIRST_PAUSE_SECONDS

    def record_run(self, job: JobId, was_successful: bool, now: float) -> bool:
        """Record the outcome of a run; return whether the outcome pauses the worker."""
        self._outcomes.append((job, was_successful))
        if was_successful:
            if len(self._outcomes) == WINDOW_COUNT and all(
                succeeded for _, succeeded in self._outcomes
            ):
                self._pause_seconds = FIRST_PAUSE_SECONDS
            return False
        failed_jobs = [job_id for job_id, succeeded in self._outcomes if not succeeded]
        if len(set(failed_jobs)) < FAILED_JOBS_COUNT:
            return False
        if len(failed_jobs) < FAILURE_SHARE * len(self._outcomes):
            return False
        self._paused_at = now
        self._paused_until = now + self._pause_seconds
        self._pause_seconds = min(MAX_PAUSE_SECONDS, 2 * self._pause_seconds)
        self._outcomes.clear()
        return True

    def pause(self, until: float) -> None:
        """Pause the worker until a time in seconds."""
        self._paused_until = max(self._paused_until, until)

    def may_end_pause(self, now: float) -> bool:
        """Return whether a needed worker may get new tasks although it is paused."""
        return now - self._paused_at >= SHORTEST_PAUSE_SECONDS

    def is_paused(self, now: float) -> bool:
        """Return whether the worker is paused and gets no new tasks."""
        return now < self._paused_until
