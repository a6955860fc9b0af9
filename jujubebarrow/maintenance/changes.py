"""Changes of configuration records, each committed in one transaction."""

from dataclasses import dataclass, field

from jujubebarrow.configurations.configurations import row_key
from jujubebarrow.configurations.record_bases import Record
from jujubebarrow.configurations.record_kinds import RecordKind
from jujubebarrow.stores.transactions import Transaction

RecordName = tuple[RecordKind, str]


@dataclass(frozen=True, slots=True)
class Change:
    """Configuration records to write, provided that the records read are unchanged.

    Attributes:
        writes: New record by kind and name; None deletes the record.
        conditions: Row revision that each record must still have at commit.
        reason: Reason for the change, shown to operators.
        subject: Name of the subject of the change, such as an instance, a pool or a
            preset.
    """

    writes: dict[RecordName, Record | None]
    conditions: dict[RecordName, int] = field(default_factory=dict)
    reason: str = ""
    subject: str = ""

    def make_transaction(self, guards: dict[str, int], nonce: str) -> Transaction:
        """Return the transaction that commits the change.

        Args:
            guards: Revision that each additional row must still have, by row key.
            nonce: Unique id of the transaction, by which a retry is recognised.
        """
        conditions = {
            row_key(*name): revision for name, revision in self.conditions.items()
        }
        writes = {
            row_key(*name): record.model_dump(mode="json") if record else None
            for name, record in self.writes.items()
        }
        return Transaction(conditions=conditions | guards, writes=writes, nonce=nonce)
