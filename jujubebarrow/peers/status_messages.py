"""State of an instance for its peers."""

from typing import Literal

from jujubebarrow.peers.message_bases import Message


class PoolReport(Message):
    """State of a pool at its home in one zone.

    Attributes:
        free_slots: Slots not in use.
        slots: Slots of upstreams in service.
        waiting: Waiting requests.
        wait: Expected time to start all waiting work, in seconds.
        unreachable: Upstreams that do not answer probes.
    """

    free_slots: int
    slots: int
    waiting: int
    wait: float
    unreachable: list[str] = []


class PeerStatus(Message):
    """State of an instance, sent with each heartbeat.

    Attributes:
        instance: Instance id.
        incarnation: Process.
        zone: Availability zone.
        address: Address for peer links.
        seat: Number of its seat, or None.
        ready: Whether it takes work.
        leaving: Whether it is shutting down.
        revision: Revision of the configuration in force.
        age: Age of the configuration in seconds; None if never verified.
        write_pending: Whether a configuration write is in flight.
        controls: Whether it holds the control lease.
        platform: Whether it reaches the platform.
        departing: Instances that the platform lists as leaving.
        version: Number of this status for its receiver.
        full: Whether usage and pools are whole, not only what changed.
        usage: Changed numbers of running requests, by "pool/team".
        pools: Changed pool reports; None for a pool it is no longer home of.
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
    """Asks for a whole status, not only what changed."""

    kind: Literal["status-request"] = "status-request"
    serial: int = 0


class StatusReply(Message):
    """Whole status."""

    kind: Literal["status-reply"] = "status-reply"
    serial: int
    to: str
    status: PeerStatus
