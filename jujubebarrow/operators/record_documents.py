"""Records as operators see them."""

from typing import Any

from pydantic import BaseModel


class RecordDocument(BaseModel):
    """Record with the revision that a change must name."""

    kind: str
    name: str
    revision: int
    value: dict[str, Any]


class RecordList(BaseModel):
    """Records of one kind."""

    records: list[RecordDocument]


class Committed(BaseModel):
    """Accepted change."""

    revision: int
    reason: str = ""
