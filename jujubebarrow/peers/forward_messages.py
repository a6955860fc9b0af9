"""Messages that forward a request to a home of its pool and return the result."""

from typing import Literal

from jujubebarrow.configurations.priorities import Priority
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.errors.run_states import RunState
from jujubebarrow.peers.message_bases import Message


class Forward(Message):
    """Request of a caller that a home of the queue's pool runs.

    Attributes:
        serial: Serial number of the message on its link.
        request: Id of the request.
        queue: Name of the queue that received the request.
        team: Team that the caller's key belongs to; empty for open queues.
        key: Digest of the caller's key; empty for open queues.
        remaining: Seconds until the deadline.
        idempotency_key: Idempotency key from the caller, or an empty string.
        content_type: Media type of the request body.
        body: Request body.
        priority: Priority of the queue within the pool.
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


class ForwardResult(Message):
    """Complete response of an upstream to a forwarded request.

    Attributes:
        serial: Serial number of the request.
        to: Incarnation of the requesting process.
        request: Id of the request.
        status: HTTP status code of the response.
        content_type: Media type of the response body.
        length: Length of the response body in bytes.
        body: Response body.
        upstream: Instance that ran the request; empty for a replayed response.
        replayed: Whether the response is the stored result of an earlier request with
            the same idempotency key.
    """

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


class ForwardRefusal(Message):
    """Refusal or failure of a forwarded request.

    Attributes:
        serial: Serial number of the request.
        to: Incarnation of the requesting process.
        error: Kind of the error.
        detail: Value or condition that caused the refusal.
        run: Whether the request may have run.
        retry_after: Time in seconds after which the caller may retry, or None.
    """

    kind: Literal["refused"] = "refused"
    serial: int
    to: str
    error: ErrorKind
    detail: str
    run: RunState
    retry_after: float | None
