"""Status messages of an instance to its peers."""

from typing import Literal

from jujubebarrow.peers.message_bases import Message


class PoolReport(Message):
    """State of a pool, reported by the pool's home instance in one zone.

    Attributes:
        free_slots: Number of unused slots.
        slots: Number of slots of all upstreams in service.
        waiting: Number of queued requests.
        wait: Expected time until all queued requests are started, in seconds.
        unreachable: Ids of the upstreams that do not respond to probes.
    """

    free_slots: int
    slots: int
    waiting: int
    wait: float
    unreachable: list[str] = []


class PeerStatus(Message):
    """Status of an instance, sent with each heartbeat reply.

    Attributes:
        instance: Id of the instance.
        incarnation: Incarnation of the process.
        zone: Availability zone of the instance.
        address: Address at which the instance accepts peer links.
        seat: Lowest number of the seats that the instance holds, or None.
        ready: Whether the instance accepts requests.
        leaving: Whether the instance is shutting down.
        revision: Revision of the configuration that the instance uses.
        age: Age of the configuration in seconds, or None if never verified.
        write_pending: Whether the instance has sent a configuration change that the
            platform may have accepted and that the instance has not yet applied.
        controls: Whether the instance holds the control lease.
        platform: Whether the instance can reach the platform.
        departing: Ids of the instances that the platform lists as leaving.
        version: Version of the status on the link to the receiver.
        full: Whether usage and pools are complete instead of deltas.
        usage: Changed counts of running requests, by "pool/team"; None for a count
            that has become 0.
        pools: Changed pool reports; None for a pool of which the instance is no longer
            the home.
    """

    instance: str
    incarnation: str
    zone: str
    address: str
    seat: int | None
    ready: bool
    leaving: bool
    revision: int
    age: float | None
    write_pending: bool
    controls: bool
    platform: bool
    departing: list[str] = []
    version: int = 0
    full: bool = True
    usage: dict[str, int | None] = {}
    pools: dict[str, PoolReport | None] = {}


class StatusRequest(Message):
    """Request for a complete status instead of a delta.

    Attributes:
        serial: Serial number of the message on its link.
    """

    kind: Literal["status-request"] = "status-request"
    serial: int = 0


class StatusReply(Message):
    """Reply with the complete status of an instance.

    Attributes:
        serial: Serial number of the request.
        to: Incarnation of the requesting process.
        status: Complete status of the replying instance.
    """

    kind: Literal["status-reply"] = "status-reply"
    serial: int
    to: str
    status: PeerStatus
