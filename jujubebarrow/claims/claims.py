"""Claim of a request that must run at most once."""

from hashlib import blake2b

from pydantic import BaseModel, ConfigDict

from jujubebarrow.claims.claim_states import ClaimState

CLAIM_PREFIX = "claims/"


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


def claim_key(team: str, queue: str, idempotency_key: str) -> str:
    """Return the key of a claim's row."""
    identity = "\0".join((team, queue, idempotency_key))
    return CLAIM_PREFIX + blake2b(identity.encode(), digest_size=20).hexdigest()


def digest_body(body: bytes) -> str:
    """Return the digest by which a repeated body is recognised."""
    return blake2b(body, digest_size=16).hexdigest()
