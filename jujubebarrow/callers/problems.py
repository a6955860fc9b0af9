"""Problem details (RFC 9457) for refusals."""

from pydantic import BaseModel

from jujubebarrow.errors.exceptions import RefusalError

MEDIA_TYPE = "application/problem+json"
TYPE_URN_PREFIX = "urn:jujubebarrow:error:"


class Problem(BaseModel):
    """Problem details (RFC 9457), extended by three members.

    Attributes:
        type: URN of the error kind.
        title: Short description of the error kind.
        status: HTTP status code.
        detail: Value or condition that caused the refusal.
        kind: Kind of the error (extension).
        run: Whether the request may have run (extension).
        request: Id of the request (extension).
    """

    type: str
    title: str
    status: int
    detail: str
    kind: str
    run: str
    request: str


def make_problem(error: RefusalError, request: str) -> Problem:
    """Return the problem details of a refusal.

    Args:
        error: Refusal of the request.
        request: Id of the request.
    """
    return Problem(
        type=TYPE_URN_PREFIX + error.kind.value,
        title=error.response.title,
        status=error.response.status,
        detail=error.detail,
        kind=error.kind.value,
        run=error.run.value,
        request=request,
    )
