"""Messages of the workers' task interface, as CBOR."""

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
PACE_PATH = "/tasks/pace"
HOLD_PATH = "/tasks/hold"
FENCED_STATUS = 409
"""Answer to the extension of a lease under a token that is too low."""

Order = StartOrder | StopOrder | ThrottleOrder | RenewalOrder
Message = TypeVar("Message")


class UnreadableMessageError(ValueError):
    """A body is none of the messages expected."""


def encode_message(message: Any) -> bytes:
    """Return the body of an order, a result or a report."""
    return cbor2.dumps(asdict(message), default=_encode_other)


def _encode_other(encoder: Any, value: Any) -> None:
    if not isinstance(value, Enum):
        raise TypeError(f"cannot encode {type(value).__name__}")
    encoder.encode(value.value)


def decode_message(body: bytes, kind: type[Message]) -> Message:
    """Return the message in a body.

    Args:
        body: Body.
        kind: Type of the message.

    Raises:
        UnreadableMessageError: It is none.
    """
    try:
        return convert(cbor2.loads(body), kind)
    except (cbor2.CBORDecodeError, ValidationError, ValueError, TypeError) as error:
        raise UnreadableMessageError(repr(error)) from error
