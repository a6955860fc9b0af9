"""Table of the response that a caller receives for each error kind."""

from dataclasses import dataclass

from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.errors.run_states import RunState


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """Response to a caller for one error kind.

    Attributes:
        status: HTTP status code.
        title: Short description of the error for the caller.
        run: Whether the request may have run, unless the refusal states otherwise.
        is_retryable: Whether the same request may succeed later.
    """

    status: int
    title: str
    run: RunState
    is_retryable: bool


_NOT_RUN = RunState.NOT_RUN
_UNKNOWN = RunState.UNKNOWN

ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.UNAUTHENTICATED: ErrorResponse(
        401, "The request carries no valid key.", _NOT_RUN, False
    ),
    ErrorKind.KEY_WITHDRAWN: ErrorResponse(
        401, "The key is withdrawn.", _NOT_RUN, False
    ),
    ErrorKind.FORBIDDEN_QUEUE: ErrorResponse(
        403, "The team of this key may not use this queue.", _NOT_RUN, False
    ),
    ErrorKind.FORBIDDEN: ErrorResponse(
        403, "This operation needs another key.", _NOT_RUN, False
    ),
    ErrorKind.UNKNOWN_QUEUE: ErrorResponse(
        404, "There is no queue of this name.", _NOT_RUN, False
    ),
    ErrorKind.NOT_FOUND: ErrorResponse(
        404, "There is no such resource.", _NOT_RUN, False
    ),
    ErrorKind.BAD_REQUEST: ErrorResponse(
        400, "The request is malformed.", _NOT_RUN, False
    ),
    ErrorKind.BAD_JSON: ErrorResponse(
        400, "The body is not valid JSON.", _NOT_RUN, False
    ),
    ErrorKind.BAD_DEADLINE: ErrorResponse(
        400, "The deadline is invalid.", _NOT_RUN, False
    ),
    ErrorKind.IDEMPOTENCY_KEY_REQUIRED: ErrorResponse(
        400, "This queue needs an Idempotency-Key header.", _NOT_RUN, False
    ),
    ErrorKind.IDEMPOTENCY_KEY_REUSED: ErrorResponse(
        422, "The Idempotency-Key was used with another body.", _NOT_RUN, False
    ),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(
        413, "The body is too large.", _NOT_RUN, False
    ),
    ErrorKind.CONFIGURATION_STALE: ErrorResponse(
        503, "Keys cannot be verified at the moment.", _NOT_RUN, True
    ),
    ErrorKind.STORE_UNAVAILABLE: ErrorResponse(
        503, "The platform's table is unavailable.", _NOT_RUN, True
    ),
    ErrorKind.QUEUE_FULL: ErrorResponse(503, "The queue is full.", _NOT_RUN, True),
    ErrorKind.DEADLINE_UNREACHABLE: ErrorResponse(
        503, "The expected wait is longer than the deadline.", _NOT_RUN, True
    ),
    ErrorKind.DEADLINE_PASSED: ErrorResponse(
        504, "The deadline passed before the work was started.", _NOT_RUN, True
    ),
    ErrorKind.TEAM_LIMIT: ErrorResponse(
        429, "The team is at its upper limit.", _NOT_RUN, True
    ),
    ErrorKind.NO_UPSTREAM: ErrorResponse(
        503, "No upstream can take work.", _NOT_RUN, True
    ),
    ErrorKind.UPSTREAM_REFUSED: ErrorResponse(
        503, "The upstreams refused to start the work.", _NOT_RUN, True
    ),
    ErrorKind.UPSTREAM_TIMEOUT: ErrorResponse(
        504, "The upstream did not answer in time.", _UNKNOWN, True
    ),
    ErrorKind.UPSTREAM_INCOMPLETE: ErrorResponse(
        502, "The upstream's answer was incomplete.", _UNKNOWN, True
    ),
    ErrorKind.PEER_UNREACHABLE: ErrorResponse(
        503, "The responsible instance cannot be reached.", _NOT_RUN, True
    ),
    ErrorKind.PEER_LOST: ErrorResponse(
        502, "The responsible instance was lost while it worked.", _UNKNOWN, True
    ),
    ErrorKind.RUN_UNKNOWN: ErrorResponse(
        409, "An earlier request with this key may have run.", _UNKNOWN, False
    ),
    ErrorKind.IN_PROGRESS: ErrorResponse(
        409, "An earlier request with this key is in progress.", _UNKNOWN, True
    ),
    ErrorKind.NEVER_RUNS: ErrorResponse(
        422, "No instance can ever run this work.", _NOT_RUN, False
    ),
    ErrorKind.CANCELLED: ErrorResponse(410, "The job was cancelled.", _NOT_RUN, False),
    ErrorKind.REVISION_CONFLICT: ErrorResponse(
        412, "The record changed since it was read.", _NOT_RUN, True
    ),
    ErrorKind.BUDGET_EXCEEDED: ErrorResponse(
        409, "The pool's availability budget does not allow this.", _NOT_RUN, True
    ),
    ErrorKind.NOT_READY: ErrorResponse(
        503, "This instance is not ready.", _NOT_RUN, True
    ),
    ErrorKind.SHUTTING_DOWN: ErrorResponse(
        503, "This instance is shutting down.", _NOT_RUN, True
    ),
    ErrorKind.INVARIANT_BROKEN: ErrorResponse(
        500, "An internal check failed.", _UNKNOWN, False
    ),
    ErrorKind.INTERNAL: ErrorResponse(
        500, "An unexpected error occurred.", _UNKNOWN, False
    ),
}

CONTENT_KINDS = frozenset(
    {
        ErrorKind.UNAUTHENTICATED,
        ErrorKind.BAD_REQUEST,
        ErrorKind.BAD_JSON,
        ErrorKind.BODY_TOO_LARGE,
        ErrorKind.IDEMPOTENCY_KEY_REUSED,
        ErrorKind.NEVER_RUNS,
    }
)
"""Kinds of refusals for the content of a request, with which no attempt can run."""
