"""Documents that describe configuration records to operators."""

from typing import Any

from pydantic import BaseModel


class RecordDocument(BaseModel):
    """Configuration record.

    Attributes:
        kind: Kind of the record.
        name: Name of the record.
        revision: Row revision that a change of the record must name.
        value: Fields of the record.
    """

    kind: str
    name: str
    revision: int
    value: dict[str, Any]


class RecordList(BaseModel):
    """Records of one kind."""

    records: list[RecordDocument]


class CommittedChange(BaseModel):
    """Committed change of the configuration.

    Attributes:
        revision: Revision of the configuration that contains the change.
        reason: Reason for the change, shown to operators.
    """

    revision: int
    reason: str = ""
