"""Loan of units of a team's upper limit between instances."""

from dataclasses import dataclass


@dataclass(slots=True)
class Loan:
    """Units of a team's upper limit that one instance lends another for a limited time.

    Attributes:
        loan_id: Id of the loan, unique to the lender.
        peer: Id of the other instance: the borrower at the lender, the lender at the
            borrower.
        count: Number of units.
        until: End of the loan in seconds since the epoch.
        used: Number of units used by running tasks; counted at the borrower only.
        is_recalled: Whether the lender needs the units, so that no further task may
            use them.
        idle_since: Time at which the borrower received the loan or last released a
            unit, in seconds since the epoch.
    """

    loan_id: str
    peer: str
    count: int
    until: float
    used: int = 0
    is_recalled: bool = False
    idle_since: float = 0.0
