"""Requests for their home instance, and answers."""

from typing import Literal

from jujubebarrow.configurations.priorities import Priority
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.errors.run_states import RunState
from jujubebarrow.peers.message_bases import Message


class Forward(Message):
    """Request for its home instance.

    Attributes:
        serial: Number of the message on its link.
        request: Request id.
        queue: Queue.
        team: Team of the key; empty on open queues.
        key: Digest of the key; empty on open queues.
        remaining: Seconds to the deadline.
        idempotency_key: Key of the caller, or an empty text.
        content_type: Media type of the body.
        body: Body.
        priority: Order among the queues of the pool.
    """

    kind: Literal["forward"] = "forward"
    serial: int = 0
    request: str
    queue: str
    team: str
    key: str
    remaining: float
    idempotency_key: str = ""
    content_type: str = "application/octet-stream"
    body: bytes = b""
    priority: Priority = Priority.INTERACTIVE


class Answered(Message):
    """Whole answer of an upstream."""

    kind: Literal["answered"] = "answered"
    serial: int
    to: str
    request: str
    status: int
    content_type: str
    length: int
    body: bytes
    upstream: str
    replayed: bool = False


class Refused(Message):
    """Refusal or failure of a request."""

    kind: Literal["refused"] = "refused"
    serial: int
    to: str
    error: ErrorKind
    detail: str
    run: RunState
    retry_after: float | None
