"""Heartbeat messages between peers."""

from typing import Literal

from jujubebarrow.peers.message_bases import Message
from jujubebarrow.peers.status_messages import PeerStatus


class Ping(Message):
    """Heartbeat request.

    Attributes:
        serial: Serial number of the message on its link.
        acknowledged: Version of the last status received from the peer, or 0 if none
            was received.
        instance: Id of the sending instance.
        incarnation: Incarnation of the sending process.
        address: Address at which the sender accepts peer links.
        seat: Lowest number of the seats that the sender holds, or None.
    """

    kind: Literal["ping"] = "ping"
    serial: int
    acknowledged: int
    instance: str
    incarnation: str
    address: str
    seat: int | None


class Pong(Message):
    """Reply to a heartbeat.

    Attributes:
        serial: Serial number of the request.
        to: Incarnation of the requesting process.
        status: Status of the replying instance, complete or as a delta.
    """

    kind: Literal["pong"] = "pong"
    serial: int
    to: str
    status: PeerStatus
