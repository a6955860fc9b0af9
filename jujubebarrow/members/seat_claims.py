"""Choice of the seat that an entry instance may claim."""

from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b

from jujubebarrow.members.seats import Seat, seat_key
from jujubebarrow.peers.identities import PeerIdentity


@dataclass(frozen=True, slots=True)
class SeatOffer:
    """Seat that this instance may claim.

    Attributes:
        number: Number of the seat.
        revision: Revision that the seat's row must have when the seat is claimed; 0 if
            there is no row.
        usable_from: Time from which the seat's quotas may be used, in
            seconds since the epoch.
    """

    number: int
    revision: int
    usable_from: float


def choose_seat(
    seats: dict[str, tuple[Seat, int]],
    count: int,
    identity: PeerIdentity,
    is_terminated: Callable[[str], bool],
    now: float,
    quarantine: float,
) -> SeatOffer | None:
    """Return a seat that no other process can be using, or None if there is none.

    A seat of an earlier process on this instance may be claimed: this process has
    bound the earlier one's address, which proves that the earlier process has ended.
    The seat of another instance may be claimed only once the platform's list shows
    that the instance is terminated. The seat stays unused for the quarantine, since
    tasks and loans of the former holder may last for that time.

    Args:
        seats: Seat rows with their revisions, by row key.
        count: Total number of seats.
        identity: Identity of this process.
        is_terminated: Returns whether the platform's list proves that an instance is
            terminated.
        now: Current time in seconds since the epoch.
        quarantine: Longest duration of a task's lease or a loan, in seconds.
    """
    earlier = _find_earlier_seat(seats, count, identity)
    if earlier is not None:
        number, revision = earlier
        return SeatOffer(number, revision, now + quarantine)
    for number in _search_order(count, identity.instance):
        offer = _make_offer(
            seats.get(seat_key(number)), number, is_terminated, now, quarantine
        )
        if offer is not None:
            return offer
    return None


def _search_order(count: int, instance: str) -> list[int]:
    # The search starts at an offset by instance, so that instances that start at the
    # same time rarely claim the same seat.
    first = int.from_bytes(blake2b(instance.encode(), digest_size=4).digest(), "big")
    return [(first + number) % count for number in range(count)]


def _find_earlier_seat(
    seats: dict[str, tuple[Seat, int]], count: int, identity: PeerIdentity
) -> tuple[int, int] | None:
    for number in range(count):
        row = seats.get(seat_key(number))
        if row is None or row[0].instance != identity.instance:
            continue
        if row[0].incarnation != identity.incarnation:
            return number, row[1]
    return None


def _make_offer(
    row: tuple[Seat, int] | None,
    number: int,
    is_terminated: Callable[[str], bool],
    now: float,
    quarantine: float,
) -> SeatOffer | None:
    if row is None:
        return SeatOffer(number, 0, now)
    seat, revision = row
    if not seat.instance:
        return SeatOffer(number, revision, max(now, seat.usable_from))
    if is_terminated(seat.instance):
        return SeatOffer(number, revision, now + quarantine)
    return None
