"""Messages that open a peer link."""

from typing import Literal

from jujubebarrow.peers.message_bases import Message


class Challenge(Message):
    """First message of the accepting side."""

    kind: Literal["challenge"] = "challenge"
    version: int
    nonce: bytes


class Hello(Message):
    """Identity of the dialling side with a proof that it knows the secret."""

    kind: Literal["hello"] = "hello"
    version: int
    instance: str
    incarnation: str
    zone: str
    nonce: bytes
    proof: bytes


class Welcome(Message):
    """Identity of the accepting side with its proof."""

    kind: Literal["welcome"] = "welcome"
    instance: str
    incarnation: str
    zone: str
    proof: bytes
