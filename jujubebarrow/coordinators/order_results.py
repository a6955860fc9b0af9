"""Results of orders that are sent to workers."""

from dataclasses import dataclass
from enum import Enum


class OrderOutcome(Enum):
    """Outcome of an order.

    Attributes:
        ACCEPTED: The worker executed the order.
        FENCED: The worker has seen the token of a later owner.
        OUTDATED: The worker has already seen this run or a later run of the task.
        LEASE_DEADLINE_PASSED: The deadline in the order had passed when the order
            arrived.
        NO_FREE_CAPACITY: The worker has too little free capacity.
        TICKET_INVALID: The worker did not accept the grant of the placement advice.
        WORKER_NOT_FOUND: The addressed worker does not run at the address.
        REFUSED: The worker refused the order for another reason.
        UNREACHED: The order did not arrive.
        UNACKNOWLEDGED: No valid response arrived; the worker may have executed the
            order or may still execute the order.
    """

    ACCEPTED = "accepted"
    FENCED = "fenced"
    OUTDATED = "outdated"
    LEASE_DEADLINE_PASSED = "lease-over"
    NO_FREE_CAPACITY = "no-room"
    TICKET_INVALID = "ticket-invalid"
    WORKER_NOT_FOUND = "not-there"
    REFUSED = "refused"
    UNREACHED = "unreached"
    UNACKNOWLEDGED = "unanswered"


@dataclass(frozen=True, slots=True)
class OrderResult:
    """Result of an order.

    Attributes:
        outcome: Outcome of the order.
        clock: Reading of the worker's clock in seconds; None if the response had none.
        detail: Description of the response or error for logs.
    """

    outcome: OrderOutcome
    clock: float | None = None
    detail: str = ""
