"""Messages that lend units of upper limits between instances."""

from typing import Literal

from pydantic import Field

from jujubebarrow.peers.message_bases import Message


class LoanRequest(Message):
    """Request to borrow units of a team's upper limit.

    Attributes:
        serial: Serial number of the message on its link.
        team: Name of the team.
        wanted: Requested number of units.
    """

    kind: Literal["loan-request"] = "loan-request"
    serial: int = 0
    team: str
    wanted: int = Field(ge=1)


class LoanReply(Message):
    """Reply that lends units of a team's upper limit.

    Attributes:
        serial: Serial number of the request.
        to: Incarnation of the requesting process.
        loan: Id of the loan.
        count: Number of lent units; 0 if the loan is refused.
        until: End of the loan, in seconds since the epoch.
    """

    kind: Literal["loan-reply"] = "loan-reply"
    serial: int
    to: str
    loan: str
    count: int
    until: float


class LoanReturn(Message):
    """Return of unused units before the loan expires.

    Attributes:
        serial: Serial number of the message on its link.
        team: Name of the team.
        loan: Id of the loan.
        count: Number of returned units.
    """

    kind: Literal["loan-return"] = "loan-return"
    serial: int = 0
    team: str
    loan: str
    count: int = Field(ge=1)


class LoanReturnReply(Message):
    """Acknowledgement of returned units.

    Attributes:
        serial: Serial number of the request.
        to: Incarnation of the requesting process.
    """

    kind: Literal["returned"] = "returned"
    serial: int
    to: str
