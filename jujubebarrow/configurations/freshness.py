"""Freshness: an upper bound on the age of an instance's configuration."""

from dataclasses import dataclass

from jujubebarrow.clocks.clocks import Clock


@dataclass(frozen=True, slots=True)
class Attestation:
    """Statement of a peer about its configuration, sent in a heartbeat reply.

    Attributes:
        sent_at: Local monotonic time at which the heartbeat was sent, in seconds.
        revision: Revision of the configuration that the peer uses.
        age: Age of the peer's configuration in seconds, or infinity if unknown.
        has_pending_write: Whether the peer has a configuration write in progress.
    """

    sent_at: float
    revision: int
    age: float
    has_pending_write: bool


class FreshnessLease:
    """Lease that is valid while the configuration is provably recent.

    The configuration is proven complete at a point in time by any of the following:

    - The platform confirmed completeness at that time.
    - A peer whose configuration was complete at that time has no higher revision.
    - This instance holds a seat, and every other seat holder has replied to a heartbeat
      sent at that time or later, has no higher revision and has no write in progress.
      Only seat holders can accept a change, and a new seat holder accepts no change
      before all other holders have replied to a heartbeat of the new holder.

    Args:
        clock: Time source.
        limit: Age of the configuration in seconds above which the lease is expired.
    """

    def __init__(self, clock: Clock, limit: float):
        self._clock = clock
        self._limit = limit
        self._verified_at = float("-inf")
        self._attestations: dict[str, Attestation] = {}
        self._holders: frozenset[str] = frozenset()
        self._holds_seat = False

    def renew(self, confirmed_at: float) -> None:
        """Record that the configuration was proven complete.

        Args:
            confirmed_at: Monotonic time in seconds up to which the configuration is
                complete, such as the time of a query to the platform.
        """
        self._verified_at = max(self._verified_at, confirmed_at)

    def set_seat_holders(self, holders: frozenset[str], holds_seat: bool) -> None:
        """Set the current seat holders.

        Args:
            holders: Incarnations of all other seat holders.
            holds_seat: Whether this process holds a seat and has read the other holders
                since it claimed the seat.
        """
        self._holders = holders
        self._holds_seat = holds_seat

    def record_attestation(
        self, peer: str, attestation: Attestation, revision: int
    ) -> None:
        """Record what a peer stated in a heartbeat reply.

        Args:
            peer: Incarnation of the peer.
            attestation: Statement of the peer about its configuration.
            revision: Revision of the configuration of this instance.
        """
        self._attestations[peer] = attestation
        if attestation.revision <= revision:
            self.renew(attestation.sent_at - attestation.age)

    def age(self, revision: int) -> float:
        """Return an upper bound on the age of the configuration in seconds.

        Args:
            revision: Revision of the configuration of this instance.
        """
        verified_at = max(self._verified_at, self._confirmed_by_holders_at(revision))
        return self._clock.monotonic() - verified_at

    def is_fresh(self, revision: int) -> bool:
        """Return whether work that needs a key may be started."""
        return self.age(revision) <= self._limit

    def _confirmed_by_holders_at(self, revision: int) -> float:
        # Before its first write, a new seat holder waits for replies of the other seat
        # holders only; an instance without a seat would not notice the new holder.
        if not self._holds_seat:
            return float("-inf")
        confirmed_at = [
            self._confirmed_by_holder_at(holder, revision) for holder in self._holders
        ]
        return min(confirmed_at, default=self._clock.monotonic())

    def _confirmed_by_holder_at(self, holder: str, revision: int) -> float:
        attestation = self._attestations.get(holder)
        if attestation is None:
            return float("-inf")
        if attestation.has_pending_write or attestation.revision > revision:
            return float("-inf")
        return attestation.sent_at
