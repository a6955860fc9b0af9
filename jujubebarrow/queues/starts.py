"""Start of a request on an upstream."""

from dataclasses import dataclass

from jujubebarrow.limits.permits import Permit
from jujubebarrow.queues.entries import Entry
from jujubebarrow.routes.upstream_slots import UpstreamSlots


@dataclass(slots=True, eq=False)
class Start:
    """Started request with its slot, its permit and its lease.

    Attributes:
        entry: Request that is started.
        member: Upstream whose slot the request occupies.
        permit: Unit of the team's upper limit; None on open queues.
        timeout: Time in seconds to wait for the response.
        lease_end: End of the task's lease in seconds since the epoch.
    """

    entry: Entry
    member: UpstreamSlots
    permit: Permit | None
    timeout: float
    lease_end: float
