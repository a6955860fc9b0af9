"""Division of a team's upper limit among seats."""

from hashlib import blake2b


def floor_of(limit: int, seat: int, seats: int, team: str) -> int:
    """Return the part of an upper limit that belongs to one seat.

    The parts of all seats add up to the limit, and no part falls when the limit
    rises, so that instances that know different limits never exceed the larger.

    Args:
        limit: Upper limit of the team.
        seat: Number of the seat, from 0.
        seats: Number of seats.
        team: Name of the team, which spreads remainders over the seats.
    """
    offset = blake2b(team.encode(), digest_size=4).digest()
    rank = (seat + int.from_bytes(offset, "big")) % seats
    return limit // seats + (1 if rank < limit % seats else 0)
