"""Division of a team's upper limit among the seats."""

from hashlib import blake2b


def compute_seat_quota(limit: int, seat: int, seat_count: int, team: str) -> int:
    """Return a seat's quota, the part of an upper limit that belongs to the seat.

    The quotas of all seats add up to the limit, and no quota shrinks when the limit
    grows. Instances that have read different limits thus never exceed the larger
    limit together.

    Args:
        limit: Upper limit of the team, in units.
        seat: Number of the seat, counted from 0.
        seat_count: Total number of seats.
        team: Name of the team. Its hash decides which seats get the units that
            remain after the division.
    """
    offset = blake2b(team.encode(), digest_size=4).digest()
    rank = (seat + int.from_bytes(offset, "big")) % seat_count
    return limit // seat_count + (1 if rank < limit % seat_count else 0)
