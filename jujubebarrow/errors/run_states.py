"""What is known of the run of a request that failed."""

from enum import Enum


class RunState(Enum):
    """Whether an upstream started the request."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"
