"""Decision on which seat an instance may claim."""

from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b

from jujubebarrow.members.seats import Seat, seat_key
from jujubebarrow.peers.identities import PeerIdentity


@dataclass(frozen=True, slots=True)
class SeatOffer:
    """Seat that may be claimed.

    Attributes:
        number: Number of the seat.
        revision: Revision that its row must still have; 0 if it has no row.
        usable_from: Time from which its part of the limits may be used, in
            seconds since the epoch.
    """

    number: int
    revision: int
    usable_from: float


def choose_seat(
    seats: dict[str, tuple[Seat, int]],
    count: int,
    identity: PeerIdentity,
    is_gone: Callable[[str], bool],
    now: float,
    quarantine: float,
) -> SeatOffer | None:
    """Choose a seat that nobody else can be using.

    A process that restarts on the same instance has bound the address of its
    predecessor, which proves that the predecessor ended. Any other holder must
    be gone by the platform's list. Tasks and loans of the former holder may
    last for the quarantine.

    Args:
        seats: Rows with their revisions, by key.
        count: Number of seats.
        identity: This process.
        is_gone: Tells whether an instance has ended for certain.
        now: Seconds since the epoch.
        quarantine: Longest life of a task's lease or a loan, in seconds.
    """
    own = _find_own(seats, count, identity)
    if own is not None:
        number, revision = own
        return SeatOffer(number, revision, now + quarantine)
    for number in _order(count, identity.instance):
        offer = _offer(seats.get(seat_key(number)), number, is_gone, now, quarantine)
        if offer is not None:
            return offer
    return None


def _order(count: int, instance: str) -> list[int]:
    # Instances that start together begin their search at different seats.
    first = int.from_bytes(blake2b(instance.encode(), digest_size=4).digest(), "big")
    return [(first + number) % count for number in range(count)]


def _find_own(
    seats: dict[str, tuple[Seat, int]], count: int, identity: PeerIdentity
) -> tuple[int, int] | None:
    for number in range(count):
        row = seats.get(seat_key(number))
        if row is None or row[0].instance != identity.instance:
            continue
        if row[0].incarnation != identity.incarnation:
            return number, row[1]
    return None


def _offer(
    row: tuple[Seat, int] | None,
    number: int,
    is_gone: Callable[[str], bool],
    now: float,
    quarantine: float,
) -> SeatOffer | None:
    if row is None:
        return SeatOffer(number, 0, now)
    seat, revision = row
    if not seat.instance:
        return SeatOffer(number, revision, max(now, seat.usable_from))
    if is_gone(seat.instance):
        return SeatOffer(number, revision, now + quarantine)
    return None
