"""States of a claim, and verdicts on repeated requests."""

from enum import Enum


class ClaimState(Enum):
    """Stored state of the claim on a request that must run at most once.

    Attributes:
        CLAIMED: The request may be running.
        DONE: The outcome of the request is stored.
        LOST: The request may have run, but its outcome is unknown.
    """

    CLAIMED = "claimed"
    DONE = "done"
    LOST = "lost"


class ClaimVerdict(Enum):
    """Decision on a repeated request with the same idempotency key.

    Attributes:
        REPLAY: Return the stored outcome.
        WAIT: Wait, since the process that claimed the request may still record the
            outcome.
        TAKE_OVER: Replace the claim, since the request was certainly not started.
        UNKNOWN: Refuse the request, since the first request may have run.
        REUSED: Refuse the request, since its body differs from the first request's.
    """

    REPLAY = "replay"
    WAIT = "wait"
    TAKE_OVER = "take-over"
    UNKNOWN = "unknown"
    REUSED = "reused"
