"""Results of orders that are sent to workers."""

from dataclasses import dataclass
from enum import Enum


class OrderOutcome(Enum):
    """Outcome of an order.

    ``UNREACHED`` means that the order did not arrive; after ``UNANSWERED`` the worker
    may have executed the order or may still execute it.
    """

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
    """Result of an order.

    Attributes:
        outcome: Outcome of the order.
        clock: Reading of the worker's clock in seconds; None if the answer had none.
        detail: Description of the answer or error for logs.
    """

    outcome: OrderOutcome
    clock: float | None = None
    detail: str = ""
