"""States of a claim."""

from enum import Enum


class ClaimState(Enum):
    """What the table knows of a request that must run at most once."""

    CLAIMED = "claimed"
    DONE = "done"
    LOST = "lost"


class ClaimVerdict(Enum):
    """What a repeated request with the same key gets."""

    REPLAY = "replay"
    WAIT = "wait"
    TAKE_OVER = "take-over"
    UNKNOWN = "unknown"
    REUSED = "reused"
