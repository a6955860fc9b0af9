"""States of a claim, and verdicts on repeated requests."""

from enum import Enum


class ClaimState(Enum):
    """Stored state of the claim on a request that must run at most once."""

    CLAIMED = "claimed"
    DONE = "done"
    LOST = "lost"


class ClaimVerdict(Enum):
    """Decision on a repeated request with the same idempotency key."""

    REPLAY = "replay"
    WAIT = "wait"
    TAKE_OVER = "take-over"
    UNKNOWN = "unknown"
    REUSED = "reused"
