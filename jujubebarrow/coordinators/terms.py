"""Times and limits that the coordinator of a pool goes by."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class CoordinatorTerms:
    """Times in seconds.

    Attributes:
        lease: Length of the lease given to what runs on a worker.
        longest_lease: Longest lease that any owner can have given.
        displaced_hold: How long a displaced owner may go on extending leases.
        stop_grace: Longest time that a worker takes to stop a run.
        early_start: How much earlier than its time an occurrence may start.
        late_start_window: How long a start without answer may still be carried out.
        retention: How long the outcome of a closed job is kept.
    """

    lease: float
    longest_lease: float
    displaced_hold: float
    stop_grace: float
    early_start: float
    late_start_window: float = 13.0
    retention: float = 150.0
