"""Encodes and decodes peer messages in CBOR."""

from enum import Enum
from typing import Any

from cbor2 import CBORDecodeError, CBOREncoder, dumps, loads
from pydantic import ValidationError

from jujubebarrow.errors.exceptions import JujubebarrowError
from jujubebarrow.peers.message_bases import Message
from jujubebarrow.peers.messages import MESSAGE_ADAPTER, AnyMessage


class ProtocolError(JujubebarrowError):
    """A peer sent an invalid or unexpected message."""


def _encode_enum(encoder: CBOREncoder, value: Any) -> None:
    if not isinstance(value, Enum):
        raise TypeError(f"expected an enum, cannot encode {type(value).__name__}")
    encoder.encode(value.value)


def encode(message: Message) -> bytes:
    """Return the CBOR encoding of a message."""
    return dumps(message.model_dump(), default=_encode_enum)


def decode(data: bytes | str) -> AnyMessage:
    """Return the decoded message of a WebSocket frame.

    Raises:
        ProtocolError: The frame is text or contains no known message.
    """
    if isinstance(data, str):
        raise ProtocolError("text frame")
    try:
        return MESSAGE_ADAPTER.validate_python(loads(data))
    except (CBORDecodeError, ValidationError, ValueError, RecursionError) as error:
        raise ProtocolError(type(error).__name__) from error
