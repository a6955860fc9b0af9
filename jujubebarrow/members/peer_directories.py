"""Directory of the other entry instances."""

from dataclasses import dataclass, field

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.peers.identities import PeerIdentity
from jujubebarrow.peers.status_messages import PeerStatus, PoolReport


@dataclass(slots=True)
class PeerRecord:
    """Last known status of one peer.

    Attributes:
        status: Status of the peer, except for usage and pool reports, which are sent
            as changes.
        usage: Number of running requests by "pool/team".
        pools: Reports of the pools whose home the peer is, by pool name.
        last_response_at: Monotonic time of the last response to a heartbeat, in
            seconds.
        round_trip: Round-trip time of the last heartbeat, in seconds.
    """

    status: PeerStatus
    usage: dict[str, int] = field(default_factory=dict)
    pools: dict[str, PoolReport] = field(default_factory=dict)
    last_response_at: float = float("-inf")
    round_trip: float = 0.0

    def version_to_acknowledge(self, peer: PeerIdentity | None) -> int:
        """Return the status version up to which a peer's changes have been received.

        The version is 0 if the peer's process is unknown or is another process than the
        recorded one.
        """
        if peer is None or peer.incarnation != self.status.incarnation:
            return 0
        return self.status.version


class PeerDirectory:
    """Records of the peers by instance id.

    Args:
        clock: Clock that measures the time since the last response.
        timeout: Time in seconds without a response after which a peer counts as
            unreachable.
    """

    def __init__(self, clock: Clock, timeout: float):
        self._clock = clock
        self._timeout = timeout
        self._records: dict[str, PeerRecord] = {}

    def get(self, instance: str) -> PeerRecord | None:
        """Return a peer's record, even if the peer is unreachable."""
        return self._records.get(instance)

    def put(self, record: PeerRecord) -> None:
        """Add or replace a peer's record."""
        self._records[record.status.instance] = record

    def remove(self, instance: str) -> None:
        """Remove a peer's record."""
        self._records.pop(instance, None)

    def all_records(self) -> list[PeerRecord]:
        """Return all records, including those of unreachable peers."""
        return list(self._records.values())

    def is_responsive(self, instance: str) -> bool:
        """Return whether a peer has responded within the timeout."""
        record = self._records.get(instance)
        if record is None:
            return False
        return self._clock.monotonic() - record.last_response_at <= self._timeout

    def responsive_records(self) -> list[PeerRecord]:
        """Return the records of the peers that have responded within the timeout."""
        return [
            record
            for instance, record in self._records.items()
            if self.is_responsive(instance)
        ]
