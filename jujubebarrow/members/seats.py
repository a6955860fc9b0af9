"""Seats, which divide the teams' upper limits among entry instances."""

from pydantic import BaseModel, ConfigDict

SEAT_PREFIX = "seats/"


class Seat(BaseModel):
    """Stored row of a seat, the right to a fixed part of every team's upper limit.

    Attributes:
        instance: Instance id of the holder; empty after a release.
        incarnation: Id of the holder's process.
        zone: Availability zone of the holder.
        peer_address: Address at which the holder accepts peer links.
        usable_from: Time from which the seat's quotas may be used,
            in seconds since the epoch.
    """

    model_config = ConfigDict(frozen=True)

    instance: str
    incarnation: str
    zone: str
    peer_address: str
    usable_from: float


def seat_key(number: int) -> str:
    """Return the key of a seat's row."""
    return f"{SEAT_PREFIX}{number:04d}"
