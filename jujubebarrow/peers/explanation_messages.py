"""Recent decisions for operators."""

from typing import Literal

from jujubebarrow.peers.message_bases import Message


class ExplainRequest(Message):
    """Asks for decisions on a subject."""

    kind: Literal["explain-request"] = "explain-request"
    serial: int = 0
    subject: str


class Explanations(Message):
    """Decisions on a subject as time, instance and sentence."""

    kind: Literal["explanations"] = "explanations"
    serial: int
    to: str
    lines: list[tuple[float, str, str]]
