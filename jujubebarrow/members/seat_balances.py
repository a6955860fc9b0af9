"""Decision on how many seats an instance holds."""

from dataclasses import dataclass
from math import ceil


@dataclass(frozen=True, slots=True)
class SeatBalance:
    """Seats held by each instance, and who takes work.

    Attributes:
        instance: This instance.
        seats: Number of seats.
        held: Number of seats that each holder has.
        ready: Peers that take work.
        stale: Seats that an earlier process of this instance held.
    """

    instance: str
    seats: int
    held: dict[str, int]
    ready: frozenset[str]
    stale: int = 0

    @property
    def _own(self) -> int:
        return self.held.get(self.instance, 0)

    @property
    def _seatless(self) -> int:
        return sum(1 for peer in self.ready if not self.held.get(peer))

    @property
    def _free(self) -> int:
        return self.seats - sum(self.held.values())

    @property
    def wants_seat(self) -> bool:
        """Whether this instance is to claim a seat."""
        if self._own == 0 or self.stale:
            return True
        members = len(self.ready | {self.instance})
        spare = self._free - self._seatless
        return spare > 0 and self._own < ceil(self.seats / members)

    @property
    def gives_seat(self) -> bool:
        """Whether this instance is to release a seat for one that has none."""
        if self._own < 2 or self._seatless <= self._free:
            return False
        largest = max(self.held.values())
        richest = min(name for name, count in self.held.items() if count == largest)
        return richest == self.instance
