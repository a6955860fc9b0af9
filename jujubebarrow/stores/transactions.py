"""Conditional transaction on the platform's table."""

from dataclasses import dataclass, field
from typing import Any

ABSENT_REVISION = 0
"""Revision in a condition that requires the row to be absent."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Transaction:
    """Writes that are applied atomically if all conditions hold.

    Attributes:
        conditions: Required revision of each row, by row key.
        writes: New value of each row, by row key; None deletes the row.
        nonce: Unique text stored with the rows; identifies a transaction whose
            response was lost.
    """

    conditions: dict[str, int] = field(default_factory=dict)
    writes: dict[str, dict[str, Any] | None]
    nonce: str
