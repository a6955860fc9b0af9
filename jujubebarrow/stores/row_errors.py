"""Errors that unreadable rows cause when they are decoded."""

from msgspec import ValidationError

ROW_ERRORS = (
    ValidationError,
    KeyError,
    IndexError,
    TypeError,
    ValueError,
    AttributeError,
)
