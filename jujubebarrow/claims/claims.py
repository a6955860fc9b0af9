"""Claims on requests that must run at most once."""

from hashlib import blake2b

from pydantic import BaseModel, ConfigDict

from jujubebarrow.claims.claim_states import ClaimState

CLAIM_PREFIX = "claims/"
DAY_SECONDS = 86_400.0
RETENTION_DAYS = 1
"""Whole days for which a claim is kept after the day on which the claim was made."""


class Outcome(BaseModel):
    """Complete response of an upstream.

    Attributes:
        status: HTTP status code of the response.
        content_type: Media type of the body.
        body: Body decoded as Latin-1; empty if the body is stored as an object.
        stored: Name of the object with a large body; empty if there is none.
    """

    model_config = ConfigDict(frozen=True)

    status: int
    content_type: str
    body: str
    stored: str = ""


class Claim(BaseModel):
    """Stored row that gives one process the right to run a request once.

    Attributes:
        instance: Id of the entry instance that made the claim.
        incarnation: Id of the process that made the claim.
        state: Progress of the claimed request.
        body_digest: Digest of the request's body, which detects a reused key.
        claimed: Time of the claim in seconds since the epoch.
        outcome: Response to the request; None unless the state is done.
    """

    model_config = ConfigDict(frozen=True)

    instance: str
    incarnation: str
    state: ClaimState
    body_digest: str
    claimed: float
    outcome: Outcome | None = None


def claim_day(now: float) -> int:
    """Return the day number of a time, in days since the epoch.

    Args:
        now: Time in seconds since the epoch.
    """
    return int(now // DAY_SECONDS)


def day_prefix(day: int) -> str:
    """Return the key prefix of the rows of all claims made on a day."""
    return f"{CLAIM_PREFIX}{day:06d}/"


def claim_keys(
    team: str, queue: str, idempotency_key: str, now: float
) -> tuple[str, list[str]]:
    """Return the row key of a new claim, and the row keys for other days.

    A claim is new only if no row exists under the keys for other days. These keys
    include the next day, since the clock of another instance may be ahead.

    Args:
        team: Team that sent the request.
        queue: Queue to which the request was sent.
        idempotency_key: Idempotency key chosen by the caller.
        now: Current time in seconds since the epoch.
    """
    identity = "\0".join((team, queue, idempotency_key))
    digest = blake2b(identity.encode(), digest_size=20).hexdigest()
    today = claim_day(now)
    others = [*range(today - RETENTION_DAYS, today), today + 1]
    return day_prefix(today) + digest, [day_prefix(day) + digest for day in others]


def digest_body(body: bytes) -> str:
    """Return the digest by which a repeated request body is recognised."""
    return blake2b(body, digest_size=16).hexdigest()
