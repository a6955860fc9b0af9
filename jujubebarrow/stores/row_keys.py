"""Keys of rows: table, partition and name with slashes between."""

from enum import Enum
from typing import NamedTuple


class TableName(Enum):
    """Tables of the job core."""

    CONTROL = "control"
    HEARTBEATS = "heartbeats"
    JOBS = "jobs"
    PROGRESS = "progress"
    FENCES = "fences"
    GRANTS = "grants"
    LOADS = "loads"
    WAVES = "waves"
    BALANCE = "balance"
    LEASES = "leases"


class RowKey(NamedTuple):
    """Parsed key of a row.

    Attributes:
        table: Table.
        partition: Rows of one partition can be written in one transaction.
        name: Name within the partition.
    """

    table: str
    partition: str
    name: str

    def __str__(self) -> str:
        return f"{self.table}/{self.partition}/{self.name}"

    @classmethod
    def parse(cls, key: str) -> "RowKey":
        """Return the parts of a key; a name may itself hold slashes."""
        table, partition, name = key.split("/", 2)
        return cls(table, partition, name)


def make_key(table: TableName, partition: str, name: str) -> str:
    """Return the key of a row of the job core."""
    return f"{table.value}/{partition}/{name}"
