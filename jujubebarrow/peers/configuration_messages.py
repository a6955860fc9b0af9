"""Changes of the configuration between peers."""

from typing import Literal

from jujubebarrow.peers.message_bases import Message
from jujubebarrow.stores.rows import Row


class ChangesRequest(Message):
    """Asks for configuration rows changed after a revision."""

    kind: Literal["changes-request"] = "changes-request"
    serial: int = 0
    since: int


class Changes(Message):
    """Configuration rows changed after a revision."""

    kind: Literal["changes"] = "changes"
    serial: int
    to: str
    rows: list[Row]
