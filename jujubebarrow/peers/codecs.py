"""Encoding of peer messages in CBOR."""

from enum import Enum
from typing import Any

from cbor2 import CBORDecodeError, CBOREncoder, dumps, loads
from pydantic import ValidationError

from jujubebarrow.errors.exceptions import JujubebarrowError
from jujubebarrow.peers.message_bases import Message
from jujubebarrow.peers.messages import MESSAGES, AnyMessage


class ProtocolError(JujubebarrowError):
    """A peer sent something that is not a message of this protocol."""


def _encode_value(encoder: CBOREncoder, value: Any) -> None:
    if not isinstance(value, Enum):
        raise TypeError(f"cannot encode {type(value).__name__}")
    encoder.encode(value.value)


def encode(message: Message) -> bytes:
    """Return a message in CBOR."""
    return dumps(message.model_dump(), default=_encode_value)


def decode(data: bytes | str) -> AnyMessage:
    """Return the message in a frame.

    Raises:
        ProtocolError: The frame holds no known message.
    """
    if isinstance(data, str):
        raise ProtocolError("text frame")
    try:
        return MESSAGES.validate_python(loads(data))
    except (CBORDecodeError, ValidationError, ValueError, RecursionError) as error:
        raise ProtocolError(type(error).__name__) from error
