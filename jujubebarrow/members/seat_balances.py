"""Balance of the seats among the entry instances."""

from dataclasses import dataclass
from math import ceil


@dataclass(frozen=True, slots=True)
class SeatBalance:
    """Seats of each entry instance, from which claims and releases are decided.

    Attributes:
        instance: Id of this instance.
        total_count: Total number of seats.
        count_by_holder: Number of seats by holder.
        ready: Peers that are ready for requests.
        stale_count: Number of seats still recorded for an earlier process of this
            instance.
    """

    instance: str
    total_count: int
    count_by_holder: dict[str, int]
    ready: frozenset[str]
    stale_count: int = 0

    @property
    def _own_count(self) -> int:
        return self.count_by_holder.get(self.instance, 0)

    @property
    def _seatless_count(self) -> int:
        return sum(1 for peer in self.ready if not self.count_by_holder.get(peer))

    @property
    def _free_count(self) -> int:
        return self.total_count - sum(self.count_by_holder.values())

    @property
    def should_claim_seat(self) -> bool:
        """Whether this instance should claim a seat.

        The instance claims its first seat, the seats of its earlier processes, and then
        spare seats up to an even share. Free seats are left for ready peers without a
        seat.
        """
        if self._own_count == 0 or self.stale_count:
            return True
        member_count = len(self.ready | {self.instance})
        spare_count = self._free_count - self._seatless_count
        return spare_count > 0 and self._own_count < ceil(
            self.total_count / member_count
        )

    @property
    def should_release_seat(self) -> bool:
        """Whether this instance should release a seat for a peer without a seat.

        Only the holder of the most seats releases a seat (of several, the holder whose
        id sorts first), so that only one holder releases a seat for a peer.
        """
        if self._own_count < 2 or self._seatless_count <= self._free_count:
            return False
        largest = max(self.count_by_holder.values())
        largest_holder = min(
            name for name, count in self.count_by_holder.items() if count == largest
        )
        return largest_holder == self.instance
