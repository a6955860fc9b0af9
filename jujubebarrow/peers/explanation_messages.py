"""Messages that request the recent decisions of a peer on behalf of an operator."""

from typing import Literal

from jujubebarrow.peers.message_bases import Message


class ExplainRequest(Message):
    """Request for the recent decisions about a subject.

    Attributes:
        serial: Serial number of the message on its link.
        subject: Subject of the decisions, such as an instance id or a request id.
    """

    kind: Literal["explain-request"] = "explain-request"
    serial: int = 0
    subject: str


class ExplainReply(Message):
    """Recent decisions about a subject.

    Attributes:
        serial: Serial number of the request.
        to: Incarnation of the requesting process.
        lines: Time in seconds since the epoch, instance id and explanation of each
            decision.
    """

    kind: Literal["explanations"] = "explanations"
    serial: int
    to: str
    lines: list[tuple[float, str, str]]
