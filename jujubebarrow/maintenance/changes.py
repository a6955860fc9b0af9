"""Change of configuration records that takes effect as a whole."""

from dataclasses import dataclass, field

from jujubebarrow.configurations.record_kinds import RecordKind
from jujubebarrow.configurations.records import Record

RecordName = tuple[RecordKind, str]


@dataclass(frozen=True, slots=True)
class Change:
    """Records to write and the revisions on which the decision rests.

    Attributes:
        writes: New record by kind and name; None deletes it.
        conditions: Row revision that each named record must still have.
        reason: Sentence for operators.
        subject: Instance, pool or preset that the change is about.
    """

    writes: dict[RecordName, Record | None]
    conditions: dict[RecordName, int] = field(default_factory=dict)
    reason: str = ""
    subject: str = ""
