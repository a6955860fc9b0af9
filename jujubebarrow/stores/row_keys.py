"""Row keys: table, partition and name, separated by slashes."""

from enum import Enum
from typing import NamedTuple


class TableName(Enum):
    """Tables in which entry instances keep the state of jobs, workers and pools."""

    CONTROL = "control"
    HEARTBEATS = "heartbeats"
    INSTANCES = "instances"
    JOBS = "jobs"
    CANCELLATIONS = "cancellations"
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
        table: Name of the row's table.
        partition: Partition of the table; a transaction can write several rows of
            one partition.
        name: Name of the row within the partition.
    """

    table: str
    partition: str
    name: str

    def __str__(self) -> str:
        return f"{self.table}/{self.partition}/{self.name}"

    @classmethod
    def parse(cls, key: str) -> "RowKey":
        """Parse a key; the name may contain slashes."""
        table, partition, name = key.split("/", 2)
        return cls(table, partition, name)


def make_key(table: TableName, partition: str, name: str) -> str:
    """Return the key of a row in a table of the entry instances."""
    return f"{table.value}/{partition}/{name}"
