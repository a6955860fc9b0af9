"""Whole answer to a request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RunResult:
    """Answer of an upstream, or the recorded one of an earlier request.

    Attributes:
        status: HTTP status of the upstream.
        content_type: Media type of the body.
        body: Body.
        upstream: Instance that ran the request; empty for a recorded answer.
        replayed: Whether the answer is a recorded one.
    """

    status: int
    content_type: str
    body: bytes
    upstream: str = ""
    replayed: bool = False
