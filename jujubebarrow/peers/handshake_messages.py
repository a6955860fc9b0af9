"""Handshake messages of a peer link."""

from typing import Literal

from jujubebarrow.peers.message_bases import Message


class Challenge(Message):
    """First handshake message, sent by the accepting side.

    Attributes:
        version: Protocol version of the accepting process.
        nonce: Random bytes that the proof of the dialling process must cover.
    """

    kind: Literal["challenge"] = "challenge"
    version: int
    nonce: bytes


class Hello(Message):
    """Identity of the dialling process with a proof of the peer secret.

    Attributes:
        version: Protocol version of the dialling process.
        instance: Id of the dialling instance.
        incarnation: Incarnation of the dialling process.
        zone: Availability zone of the dialling instance.
        nonce: Random bytes that the proof of the accepting process must cover.
        proof: Proof that the dialling process knows the peer secret.
    """

    kind: Literal["hello"] = "hello"
    version: int
    instance: str
    incarnation: str
    zone: str
    nonce: bytes
    proof: bytes


class Welcome(Message):
    """Identity of the accepting process with a proof of the peer secret.

    Attributes:
        instance: Id of the accepting instance.
        incarnation: Incarnation of the accepting process.
        zone: Availability zone of the accepting instance.
        proof: Proof that the accepting process knows the peer secret.
    """

    kind: Literal["welcome"] = "welcome"
    instance: str
    incarnation: str
    zone: str
    proof: bytes
