"""Options of the pool coordinator."""

from dataclasses import dataclass

DEFAULT_ROW_BYTES = 48_000
"""Limit on a row's value where the store states none: 64 KiB of base64, with a margin
for the envelope of the value."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CoordinatorOptions:
    """Durations in seconds and limits that the decisions of a pool's owner depend on.

    Attributes:
        lease: Length of a lease issued for the runs of a worker.
        longest_lease: Longest lease that any owner may have issued.
        accepted_lease: Longest lease that a worker accepts.
        superseded_renewal: Time for which a superseded owner may still renew leases.
        stop_grace: Longest time that a worker takes to stop a run.
        early_start: Time by which an occurrence may start before it is due.
        late_order_window: Time for which a worker may still execute an
            unacknowledged order.
        retention: Time for which the outcome of a closed job is kept.
        row_limit: Largest value of a stored row in bytes.
    """

    lease: float
    longest_lease: float
    accepted_lease: float
    superseded_renewal: float
    stop_grace: float
    early_start: float
    late_order_window: float = 13.0
    retention: float = 150.0
    row_limit: int = DEFAULT_ROW_BYTES

    def compute_foreign_lease(self, age: float) -> float:
        """Return the longest lease of a worker at its first report to this owner.

        The end of a lease is a time on the clock of one incarnation. A renewal that the
        next incarnation executes late lies far ahead on its clock, so that the worker
        shortens the lease only to the longest one that it accepts. Nobody renews the
        lease of a former incarnation for longer than a superseded owner would.

        Args:
            age: Time since the start of the worker's present incarnation.
        """
        last_late_order = min(age, self.late_order_window + self.superseded_renewal)
        return max(self.longest_lease, last_late_order + self.accepted_lease - age)
