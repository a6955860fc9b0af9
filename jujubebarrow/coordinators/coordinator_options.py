"""Options of the pool coordinator."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class CoordinatorOptions:
    """Durations in seconds that the decisions of a pool's owner depend on.

    Attributes:
        lease: Length of a lease issued for the runs of a worker.
        longest_lease: Longest lease that any owner may have issued.
        superseded_renewal: Time for which a superseded owner may still renew leases.
        stop_grace: Longest time that a worker takes to stop a run.
        early_start: Time by which an occurrence may start before it is due.
        late_start_window: Time for which a worker may still execute an
            unacknowledged start.
        retention: Time for which the outcome of a closed job is kept.
    """

    lease: float
    longest_lease: float
    superseded_renewal: float
    stop_grace: float
    early_start: float
    late_start_window: float = 13.0
    retention: float = 150.0
