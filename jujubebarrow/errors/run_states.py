"""States of the run of a failed request."""

from enum import Enum


class RunState(Enum):
    """Whether an upstream started the request."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"
