"""Messages that exchange configuration changes between peers."""

from typing import Literal

from jujubebarrow.peers.message_bases import Message
from jujubebarrow.stores.rows import Row


class ChangesRequest(Message):
    """Request for the configuration rows changed after a revision.

    Attributes:
        serial: Serial number of the message on its link.
        since: Revision after which changes are requested.
    """

    kind: Literal["changes-request"] = "changes-request"
    serial: int = 0
    since: int


class ChangesReply(Message):
    """Reply with the configuration rows changed after a revision.

    Attributes:
        serial: Serial number of the request.
        to: Incarnation of the requesting process.
        rows: Changed rows, oldest first.
    """

    kind: Literal["changes"] = "changes"
    serial: int
    to: str
    rows: list[Row]
