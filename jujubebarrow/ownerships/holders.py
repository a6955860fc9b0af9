"""Rows that say which instance lives and which owns what."""

from dataclasses import dataclass
from typing import NewType

from jujubebarrow.identifiers import IncarnationId, InstanceId

DutyId = NewType("DutyId", str)
"""What has one owner at a time: a pool."""


@dataclass(frozen=True, slots=True)
class InstanceRow:
    """Heartbeat of an entry instance.

    Attributes:
        instance: Instance.
        incarnation: One run of its process.
        is_stopping: It hands over what it owns.
        address: IP and port for calls between instances; empty if it takes none.
        revision: Revision of the row; rises with each heartbeat.
    """

    instance: InstanceId
    incarnation: IncarnationId
    is_stopping: bool
    address: str
    revision: int


@dataclass(frozen=True, slots=True)
class DutyRow:
    """Owner of a duty.

    Attributes:
        duty: Duty.
        holder: Instance, empty if it was handed over.
        incarnation: Run of the holder's process.
        revision: Revision of the row; the fencing token of the holder.
    """

    duty: DutyId
    holder: InstanceId
    incarnation: IncarnationId
    revision: int
