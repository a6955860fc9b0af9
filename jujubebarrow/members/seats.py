"""Seats, which divide upper limits among entry instances."""

from pydantic import BaseModel, ConfigDict

SEAT_PREFIX = "seats/"


class Seat(BaseModel):
    """Row of one seat.

    Attributes:
        instance: Holder's instance id; empty after a release.
        incarnation: Holder's process.
        zone: Holder's availability zone.
        peer_address: Holder's address for peer links.
        usable_from: Time from which the seat's part of the limits may be used,
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
