"""Complete response to a request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RunResult:
    """Response of an upstream, or the recorded response to an earlier request.

    Attributes:
        status: HTTP status of the response.
        content_type: Media type of the body.
        body: Body of the response.
        upstream: Instance that ran the request; empty for a recorded response.
        replayed: Whether the response is a recorded one.
    """

    status: int
    content_type: str
    body: bytes
    upstream: str = ""
    replayed: bool = False
