"""Row of the platform's table."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """Row of the table as of one revision.

    Attributes:
        key: Key of the row.
        revision: Revision of the table at the row's last change.
        nonce: Nonce of the transaction that made the last change.
        value: Document, or None if the row was deleted.
    """

    key: str
    revision: int
    nonce: str = ""
    value: dict[str, Any] | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class RowSet:
    """Rows and the revision of the table they were read at.

    Attributes:
        revision: Revision of the table.
        rows: Rows.
        clock: Reading of the store's steady clock in seconds.
    """

    revision: int
    rows: list[Row]
    clock: float = 0.0
