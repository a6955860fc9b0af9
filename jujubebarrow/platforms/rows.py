"""Row of the platform's table."""

from typing import Any

from pydantic import BaseModel, ConfigDict


class Row(BaseModel):
    """Row of the table as of one revision.

    Attributes:
        key: Key of the row.
        revision: Revision of the table at the row's last change.
        nonce: Nonce of the transaction that made the last change.
        value: Document, or None if the row was deleted.
    """

    model_config = ConfigDict(frozen=True)

    key: str
    revision: int
    nonce: str = ""
    value: dict[str, Any] | None = None


class RowSet(BaseModel):
    """Rows and the revision of the table they were read at."""

    model_config = ConfigDict(frozen=True)

    revision: int
    rows: list[Row]
