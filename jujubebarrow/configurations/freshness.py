"""How old the configuration of one instance may be."""

from dataclasses import dataclass

from jujubebarrow.clocks.clocks import Clock


@dataclass(frozen=True, slots=True)
class Attestation:
    """What a peer said of its configuration in answer to one heartbeat.

    Attributes:
        asked: Own monotonic time at which the heartbeat was sent, in seconds.
        revision: Revision in force at the peer.
        age: Age of the peer's configuration in seconds; infinite if unknown.
        write_pending: Whether the peer has a configuration write in flight.
    """

    asked: float
    revision: int
    age: float
    write_pending: bool


class FreshnessLease:
    """Bounds the age of the configuration.

    The configuration is known to be complete at a moment if the platform said
    so, if a peer that was itself complete is not ahead, or if every holder of a
    seat answered since then, is not ahead and writes nothing: a change can be
    accepted only by a holder, and a new holder accepts none before all others
    have answered it.

    Args:
        clock: Time source.
        limit: Age in seconds at which the lease lapses.
    """

    def __init__(self, clock: Clock, limit: float):
        self._clock = clock
        self._limit = limit
        self._verified = float("-inf")
        self._attestations: dict[str, Attestation] = {}
        self._holders: frozenset[str] = frozenset()
        self._holds_seat = False

    def renew(self, asked: float) -> None:
        """Record that the platform confirmed completeness.

        Args:
            asked: Monotonic time at which the platform was asked, in seconds.
        """
        self._verified = max(self._verified, asked)

    def set_holders(self, holders: frozenset[str], holds_seat: bool) -> None:
        """Set who holds a seat.

        Args:
            holders: Incarnations of all other holders.
            holds_seat: Whether this process holds one itself.
        """
        self._holders = holders
        self._holds_seat = holds_seat

    def attest(self, peer: str, attestation: Attestation, revision: int) -> None:
        """Record a peer's answer to a heartbeat.

        Args:
            peer: Incarnation of the peer.
            attestation: What the peer said.
            revision: Revision in force here.
        """
        self._attestations[peer] = attestation
        if attestation.revision <= revision:
            self.renew(attestation.asked - attestation.age)

    def age(self, revision: int) -> float:
        """Return the greatest possible age of the configuration in seconds.

        Args:
            revision: Revision in force here.
        """
        verified = max(self._verified, self._vouched(revision))
        return self._clock.monotonic() - verified

    def is_fresh(self, revision: int) -> bool:
        """Return whether work that needs a key may be started."""
        return self.age(revision) <= self._limit

    def _vouched(self, revision: int) -> float:
        # A new holder asks all other holders before it writes, but no one else.
        if not self._holds_seat:
            return float("-inf")
        times = [self._vouched_by(holder, revision) for holder in self._holders]
        return min(times, default=self._clock.monotonic())

    def _vouched_by(self, holder: str, revision: int) -> float:
        attestation = self._attestations.get(holder)
        if attestation is None:
            return float("-inf")
        if attestation.write_pending or attestation.revision > revision:
            return float("-inf")
        return attestation.asked
