"""How a worker has done with its recent tasks."""

from collections import deque

from jujubebarrow.identifiers import JobId

WINDOW = 12
"""Ends looked at; enough to tell a failing worker from a failing job."""
FAILURE_SHARE = 0.5
"""Share of failed ends from which a worker gets no tasks."""
FAILED_JOBS = 2
"""Different jobs that must have failed, as one bad job fails everywhere."""
FIRST_BAN = 2.0
"""Seconds of the first pause, doubled at each further one."""
LONGEST_BAN = 16.0
"""Longest pause in seconds; some seconds more than a restart takes."""


class WorkerScore:
    """Recent ends of runs on one worker."""

    def __init__(self) -> None:
        self._ends: deque[tuple[JobId, bool]] = deque(maxlen=WINDOW)
        self._banned_until = 0.0
        self._ban = FIRST_BAN

    def note(self, job: JobId, succeeded: bool, now: float) -> bool:
        """Note an end; return whether the worker gets a pause because of it."""
        self._ends.append((job, succeeded))
        if succeeded:
            if len(self._ends) == WINDOW and all(good for _, good in self._ends):
                self._ban = FIRST_BAN
            return False
        failed = [name for name, good in self._ends if not good]
        if len(set(failed)) < FAILED_JOBS:
            return False
        if len(failed) < FAILURE_SHARE * len(self._ends):
            return False
        self._banned_until = now + self._ban
        self._ban = min(LONGEST_BAN, 2 * self._ban)
        self._ends.clear()
        return True

    def pause(self, until: float) -> None:
        """Give the worker no new tasks until a time in seconds."""
        self._banned_until = max(self._banned_until, until)

    def is_shunned(self, now: float) -> bool:
        """Return whether the worker is to get no new tasks."""
        return now < self._banned_until
