"""Conditional transaction on the platform's table."""

from typing import Any

from pydantic import BaseModel, ConfigDict

ABSENT = 0
"""Revision that a condition names for a row that must not exist."""


class Transaction(BaseModel):
    """Writes that take effect together if all conditions hold.

    Attributes:
        conditions: Revision that each named row must have.
        writes: New value of each row; None deletes it.
        nonce: Identifies the transaction when its answer is lost.
    """

    model_config = ConfigDict(frozen=True)

    conditions: dict[str, int] = {}
    writes: dict[str, dict[str, Any] | None]
    nonce: str
