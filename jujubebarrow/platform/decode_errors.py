"""Errors that documents of other programs cause when they are decoded."""

from msgspec import MsgspecError

DECODE_ERRORS = (
    MsgspecError,
    KeyError,
    IndexError,
    TypeError,
    ValueError,
    AttributeError,
    # Numbers beyond the range of a float.
    OverflowError,
    # Documents that are nested too deeply.
    RecursionError,
)
