"""Errors as problem details."""

from pydantic import BaseModel

from jujubebarrow.errors.exceptions import RefusalError

MEDIA_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:jujubebarrow:error:"


class Problem(BaseModel):
    """Problem details (RFC 9457) with the error kind and the run state."""

    type: str
    title: str
    status: int
    detail: str
    kind: str
    run: str
    request: str


def make_problem(error: RefusalError, request: str) -> Problem:
    """Return the problem details of a refusal."""
    return Problem(
        type=TYPE_PREFIX + error.kind.value,
        title=error.answer.title,
        status=error.answer.status,
        detail=error.detail,
        kind=error.kind.value,
        run=error.run.value,
        request=request,
    )
