"""Heartbeats."""

from typing import Literal

from jujubebarrow.peers.message_bases import Message
from jujubebarrow.peers.status_messages import PeerStatus


class Ping(Message):
    """Heartbeat.

    Attributes:
        acknowledged: Version of the last status received; 0 if there is none.
    """

    kind: Literal["ping"] = "ping"
    serial: int
    acknowledged: int
    instance: str
    incarnation: str
    address: str
    seat: int | None


class Pong(Message):
    """Answer to a heartbeat."""

    kind: Literal["pong"] = "pong"
    serial: int
    to: str
    status: PeerStatus
