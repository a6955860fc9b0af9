"""Conditional transaction on the platform's table."""

from dataclasses import dataclass, field
from typing import Any

ABSENT = 0
"""Revision that a condition names for a row that must not exist."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Transaction:
    """Writes that take effect together if all conditions hold.

    Attributes:
        conditions: Revision that each named row must have.
        writes: New value of each row; None deletes it.
        nonce: Identifies the transaction when its answer is lost.
    """

    conditions: dict[str, int] = field(default_factory=dict)
    writes: dict[str, dict[str, Any] | None]
    nonce: str
