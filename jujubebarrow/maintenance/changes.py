"""Change of configuration records that takes effect as a whole."""

from dataclasses import dataclass, field

from jujubebarrow.configurations.configurations import row_key
from jujubebarrow.configurations.record_bases import Record
from jujubebarrow.configurations.record_kinds import RecordKind
from jujubebarrow.stores.transactions import Transaction

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

    def make_transaction(self, guards: dict[str, int], nonce: str) -> Transaction:
        """Return the change as a transaction.

        Args:
            guards: Revision that further rows must have, by key.
            nonce: Identifies the change.
        """
        conditions = {
            row_key(*name): revision for name, revision in self.conditions.items()
        }
        writes = {
            row_key(*name): record.model_dump(mode="json") if record else None
            for name, record in self.writes.items()
        }
        return Transaction(conditions=conditions | guards, writes=writes, nonce=nonce)
