"""Part of an upper limit that one instance lends to another."""

from dataclasses import dataclass


@dataclass(slots=True)
class Loan:
    """Units lent until a moment.

    Attributes:
        loan: Identifier, unique to the lender.
        peer: Instance at the other side.
        count: Units.
        until: End in seconds since the epoch.
        used: Units used by running tasks, at the borrower only.
        recalled: Whether the lender needs it back, so that no task may start on it.
        idle_since: Time since which units are unused, in seconds since the epoch.
    """

    loan: str
    peer: str
    count: int
    until: float
    used: int = 0
    recalled: bool = False
    idle_since: float = 0.0
