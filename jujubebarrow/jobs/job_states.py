"""States of an accepted job."""

from enum import Enum


class JobState(Enum):
    """State of a job; all but the first two are final."""

    ACCEPTED = "accepted"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


OPEN_STATES = frozenset({JobState.ACCEPTED, JobState.RUNNING})
