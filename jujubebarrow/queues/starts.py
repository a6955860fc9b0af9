"""Decision to start a waiting request."""

from dataclasses import dataclass

from jujubebarrow.limits.permits import Permit
from jujubebarrow.queues.entries import Entry
from jujubebarrow.routes.upstream_slots import UpstreamSlots


@dataclass(slots=True, eq=False)
class Start:
    """Entry with the slot, the permit and the lease it runs under.

    Attributes:
        entry: Request.
        member: Upstream whose slot it occupies.
        permit: Unit of its team's limit; None on open queues.
        timeout: Seconds to wait for the answer.
        lease_end: End of the task's lease in seconds since the epoch.
    """

    entry: Entry
    member: UpstreamSlots
    permit: Permit | None
    timeout: float
    lease_end: float
