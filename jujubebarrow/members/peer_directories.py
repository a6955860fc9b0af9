"""What is known of the other entry instances."""

from dataclasses import dataclass, field

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.peers.identities import PeerIdentity
from jujubebarrow.peers.status_messages import PeerStatus, PoolReport


@dataclass(slots=True)
class PeerRecord:
    """Last status of one peer.

    Attributes:
        status: Status without the parts that are sent as changes.
        usage: Running requests by "pool/team".
        pools: Reports of the pools that it is home of.
        seen: Monotonic time of the last heartbeat's answer, in seconds.
        round_trip: Time that the last heartbeat took, in seconds.
    """

    status: PeerStatus
    usage: dict[str, int] = field(default_factory=dict)
    pools: dict[str, PoolReport] = field(default_factory=dict)
    seen: float = float("-inf")
    round_trip: float = 0.0

    def version_for(self, peer: PeerIdentity | None) -> int:
        """Return the version to acknowledge to a process; 0 if it is another."""
        if peer is None or peer.incarnation != self.status.incarnation:
            return 0
        return self.status.version


class PeerDirectory:
    """Peers by instance id.

    Args:
        clock: Time source.
        timeout: Silence in seconds after which a peer counts as unreachable.
    """

    def __init__(self, clock: Clock, timeout: float):
        self._clock = clock
        self._timeout = timeout
        self._records: dict[str, PeerRecord] = {}

    def get(self, instance: str) -> PeerRecord | None:
        """Return a peer's record, also of one that is unreachable."""
        return self._records.get(instance)

    def put(self, record: PeerRecord) -> None:
        """Add or replace a peer's record."""
        self._records[record.status.instance] = record

    def remove(self, instance: str) -> None:
        """Forget a peer."""
        self._records.pop(instance, None)

    def all(self) -> list[PeerRecord]:
        """Return all records, also of unreachable peers."""
        return list(self._records.values())

    def is_alive(self, instance: str) -> bool:
        """Return whether a peer answered lately."""
        record = self._records.get(instance)
        if record is None:
            return False
        return self._clock.monotonic() - record.seen <= self._timeout

    def alive(self) -> list[PeerRecord]:
        """Return the records of peers that answered lately."""
        return [
            record
            for instance, record in self._records.items()
            if self.is_alive(instance)
        ]
