"""Stored rows with the heartbeats of instances and the owners of duties."""

from dataclasses import dataclass
from typing import NewType

from jujubebarrow.identifiers import IncarnationId, InstanceId, ZoneId

DutyId = NewType("DutyId", str)
"""Duty: responsibility for one pool, owned by one instance at a time."""
UNKNOWN_ZONE = ZoneId("")
DEFAULT_POOL_CAPACITY = 1.0
"""Pool capacity of an instance whose heartbeat does not contain one."""


@dataclass(frozen=True, slots=True)
class InstanceRow:
    """Heartbeat of an entry instance.

    Attributes:
        instance: Id of the instance that wrote the heartbeat.
        incarnation: Id of one run of the instance's process.
        is_stopping: Whether the instance releases its duties to stop.
        address: IP and port for calls between instances; empty if calls are not served.
        revision: Revision of the row; increases with each heartbeat.
        zone: Availability zone of the instance; empty if unknown.
        pool_capacity: Number of busy pools that the instance can own at a time; may be
            a fraction.
        renewal_count: Number of renewals of the lease by this run of the process.
        sent_at: Time of the store's clock in seconds at which the heartbeat was sent,
            never too early; None if the instance did not know it.
        owns_duties: Whether the instance owned duties when it sent the heartbeat.
        is_revoked: Whether another instance has revoked the lease of the heartbeat.
        is_blocked: Whether the row is no heartbeat: another instance has written it, so
            that the lease cannot be renewed there unnoticed.
    """

    instance: InstanceId
    incarnation: IncarnationId
    is_stopping: bool
    address: str
    revision: int
    zone: ZoneId = UNKNOWN_ZONE
    pool_capacity: float = DEFAULT_POOL_CAPACITY
    renewal_count: int = 0
    sent_at: float | None = None
    owns_duties: bool = False
    is_revoked: bool = False
    is_blocked: bool = False


@dataclass(frozen=True, slots=True)
class DutyRow:
    """Owner of a duty.

    Attributes:
        duty: Id of the owned duty.
        holder: Id of the owning instance; empty if the duty was released.
        incarnation: Id of the run of the holder's process.
        revision: Revision of the row; increases with each claim and confirmation.
        claim_revision: Revision of the claim, if the row was confirmed since; None if
            the row was last changed by the claim.
    """

    duty: DutyId
    holder: InstanceId
    incarnation: IncarnationId
    revision: int
    claim_revision: int | None = None

    @property
    def token(self) -> int:
        """Fencing token of the holder."""
        return self.revision if self.claim_revision is None else self.claim_revision
