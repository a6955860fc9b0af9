"""Loans of parts of upper limits."""

from typing import Literal

from pydantic import Field

from jujubebarrow.peers.message_bases import Message


class LoanRequest(Message):
    """Asks for a part of a team's upper limit."""

    kind: Literal["loan-request"] = "loan-request"
    serial: int = 0
    team: str
    wanted: int = Field(ge=1)


class LoanReply(Message):
    """Grants units until a moment; none if the count is 0."""

    kind: Literal["loan-reply"] = "loan-reply"
    serial: int
    to: str
    loan: str
    count: int
    until: float


class LoanReturn(Message):
    """Gives unused units back before the loan ends."""

    kind: Literal["loan-return"] = "loan-return"
    serial: int = 0
    team: str
    loan: str
    count: int = Field(ge=1)


class Returned(Message):
    """Confirms a message that needs no other answer."""

    kind: Literal["returned"] = "returned"
    serial: int
    to: str
