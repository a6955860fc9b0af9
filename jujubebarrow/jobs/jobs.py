"""Accepted job that runs later."""

from hashlib import blake2b

from pydantic import BaseModel, ConfigDict

from jujubebarrow.claims.claims import Outcome
from jujubebarrow.jobs.job_states import JobState

OPEN_PREFIX = "jobs/open/"
CLOSED_PREFIX = "jobs/closed/"


class Job(BaseModel):
    """Row of one job.

    Attributes:
        team: Team that submitted it.
        key: Digest of the key that it came with.
        queue: Queue.
        content_type: Media type of the body.
        body: Body in Latin-1; empty if it is stored as an object.
        stored: Name of the object that holds a large body.
        body_digest: Digest by which a repeated submission is recognised.
        created: Time of acceptance in seconds since the epoch.
        state: State.
        runner: Instance that supervises it; empty after a hand-over.
        incarnation: Process that supervises it.
        attempts: Times that it was started.
        cancelling: Whether it was cancelled while it ran.
        reason: Sentence on its state.
        outcome: Answer of the upstream.
    """

    model_config = ConfigDict(frozen=True)

    team: str
    key: str
    queue: str
    content_type: str
    body: str
    stored: str = ""
    body_digest: str
    created: float
    state: JobState = JobState.ACCEPTED
    runner: str = ""
    incarnation: str = ""
    attempts: int = 0
    cancelling: bool = False
    reason: str = ""
    outcome: Outcome | None = None


def job_id(team: str, queue: str, idempotency_key: str) -> str:
    """Return the id of the job that a team submits under a key."""
    identity = "\0".join((team, queue, idempotency_key))
    return blake2b(identity.encode(), digest_size=12).hexdigest()
