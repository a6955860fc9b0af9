"""How a worker has done with its recent tasks."""

from collections import deque

from jujubebarrow.identifiers import JobId

WINDOW_COUNT = 12
"""Ends looked at; enough to tell a failing worker from a failing job."""
FAILURE_SHARE = 0.5
"""Share of failed ends from which a worker gets no tasks."""
FAILED_JOBS_COUNT = 2
"""Different jobs that must have failed, as one bad job fails everywhere."""
FIRST_PAUSE_SECONDS = 2.0
"""Seconds of the first pause, doubled at each further one."""
MAX_PAUSE_SECONDS = 16.0
"""Longest pause in seconds; some seconds more than a restart takes."""


class WorkerScore:
    """Recent ends of runs on one worker."""

    def __init__(self) -> None:
        self._outcomes: deque[tuple[JobId, bool]] = deque(maxlen=WINDOW_COUNT)
        self._paused_until = 0.0
        self._pause_seconds = FIRST_PAUSE_SECONDS

    def record_run(self, job: JobId, succeeded: bool, now: float) -> bool:
        """Note an end; return whether the worker gets a pause because of it."""
        self._outcomes.append((job, succeeded))
        if succeeded:
            if len(self._outcomes) == WINDOW_COUNT and all(
                good for _, good in self._outcomes
            ):
                self._pause_seconds = FIRST_PAUSE_SECONDS
            return False
        failed = [name for name, good in self._outcomes if not good]
        if len(set(failed)) < FAILED_JOBS_COUNT:
            return False
        if len(failed) < FAILURE_SHARE * len(self._outcomes):
            return False
        self._paused_until = now + self._pause_seconds
        self._pause_seconds = min(MAX_PAUSE_SECONDS, 2 * self._pause_seconds)
        self._outcomes.clear()
        return True

    def pause(self, until: float) -> None:
        """Give the worker no new tasks until a time in seconds."""
        self._paused_until = max(self._paused_until, until)

    def is_paused(self, now: float) -> bool:
        """Return whether the worker is to get no new tasks."""
        return now < self._paused_until
