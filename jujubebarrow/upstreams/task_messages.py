"""CBOR encoding of the messages of the workers' task interface."""

from dataclasses import asdict
from enum import Enum
from typing import Any, TypeVar

import cbor2
from msgspec import ValidationError, convert

from jujubebarrow.coordinators.orders import (
    RenewalOrder,
    StartOrder,
    StopOrder,
    ThrottleOrder,
)

MEDIA_TYPE = "application/cbor"
START_PATH = "/tasks/start"
STOP_PATH = "/tasks/stop"
THROTTLE_PATH = "/tasks/pace"
RENEWAL_PATH = "/tasks/hold"
FENCED_STATUS = 409
"""HTTP status of a rejected lease renewal whose fencing token is outdated."""

Order = StartOrder | StopOrder | ThrottleOrder | RenewalOrder
Message = TypeVar("Message")


class UnreadableMessageError(ValueError):
    """A body does not contain the expected type of message."""


def encode_message(message: Any) -> bytes:
    """Return the CBOR encoding of an order, a result or a report."""
    return cbor2.dumps(asdict(message), default=_encode_enum)


def _encode_enum(encoder: Any, value: Any) -> None:
    if not isinstance(value, Enum):
        raise TypeError(f"expected an enum, cannot encode {type(value).__name__}")
    encoder.encode(value.value)


def decode_message(body: bytes, message_type: type[Message]) -> Message:
    """Return the message that a body contains.

    Args:
        body: Body of an HTTP request or response.
        message_type: Expected type of the message.

    Raises:
        UnreadableMessageError: The body contains no message of the expected type.
    """
    try:
        return convert(cbor2.loads(body), message_type)
    except (cbor2.CBORDecodeError, ValidationError, ValueError, TypeError) as error:
        raise UnreadableMessageError(repr(error)) from error
