"""Claim of a request that must run at most once."""

from hashlib import blake2b

from pydantic import BaseModel, ConfigDict

from jujubebarrow.claims.claim_states import ClaimState

CLAIM_PREFIX = "claims/"
DAY_SECONDS = 86_400.0
KEPT_DAYS = 1
"""Whole days for which a claim is kept after the day on which it was made."""


class Outcome(BaseModel):
    """Whole answer of an upstream.

    Attributes:
        status: HTTP status.
        content_type: Media type of the body.
        body: Body in Latin-1; empty if it is stored as an object.
        stored: Name of the object that holds a large body.
    """

    model_config = ConfigDict(frozen=True)

    status: int
    content_type: str
    body: str
    stored: str = ""


class Claim(BaseModel):
    """Row that gives one process the right to run a request once.

    Attributes:
        instance: Instance that holds the claim.
        incarnation: Process that holds the claim.
        state: State.
        body_digest: Digest of the request's body.
        claimed: Time of the claim in seconds since the epoch.
        outcome: Answer, once it is known.
    """

    model_config = ConfigDict(frozen=True)

    instance: str
    incarnation: str
    state: ClaimState
    body_digest: str
    claimed: float
    outcome: Outcome | None = None


def claim_day(now: float) -> int:
    """Return the number of the day of a time in seconds since the epoch."""
    return int(now // DAY_SECONDS)


def day_prefix(day: int) -> str:
    """Return the prefix of the rows of all claims made on a day."""
    return f"{CLAIM_PREFIX}{day:06d}/"


def claim_keys(
    team: str, queue: str, idempotency_key: str, now: float
) -> tuple[str, list[str]]:
    """Return the key of a new claim's row, and those of other days.

    A claim is new only if none of the other rows exists. The next day is among
    them, since the clock of another instance may be ahead.

    Args:
        team: Team.
        queue: Queue.
        idempotency_key: Key that the caller chose.
        now: Seconds since the epoch.
    """
    identity = "\0".join((team, queue, idempotency_key))
    digest = blake2b(identity.encode(), digest_size=20).hexdigest()
    today = claim_day(now)
    others = [*range(today - KEPT_DAYS, today), today + 1]
    return day_prefix(today) + digest, [day_prefix(day) + digest for day in others]


def digest_body(body: bytes) -> str:
    """Return the digest by which a repeated body is recognised."""
    return blake2b(body, digest_size=16).hexdigest()
