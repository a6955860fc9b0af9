"""Answers of workers to orders."""

from dataclasses import dataclass
from enum import Enum


class OrderOutcome(Enum):
    """What became of an order."""

    ACCEPTED = "accepted"
    FENCED = "fenced"
    OUTDATED = "outdated"
    LEASE_OVER = "lease-over"
    NO_ROOM = "no-room"
    TICKET_INVALID = "ticket-invalid"
    NOT_THERE = "not-there"
    REFUSED = "refused"
    UNREACHED = "unreached"
    UNANSWERED = "unanswered"


@dataclass(frozen=True, slots=True)
class OrderResult:
    """Answer to an order.

    Attributes:
        outcome: What became of it.
        clock: Reading of the worker's clock in seconds; None if it said none.
        detail: What was seen, for logs.
    """

    outcome: OrderOutcome
    clock: float | None = None
    detail: str = ""
