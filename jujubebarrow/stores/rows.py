"""Rows of the platform's table."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """State of a row at one revision of the table.

    Attributes:
        key: Table, partition and name of the row.
        revision: Revision of the table at the row's last change.
        nonce: Nonce of the transaction that last changed the row.
        value: Document in the row, or None if the row was deleted.
    """

    key: str
    revision: int
    nonce: str = ""
    value: dict[str, Any] | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class RowSet:
    """Rows read at one revision of the table.

    Attributes:
        revision: Revision of the table at which the rows were read.
        rows: Rows that were read, including deleted rows in a list of changes.
        clock: Store's monotonic clock in seconds at the time of the read.
    """

    revision: int
    rows: list[Row]
    clock: float = 0.0
