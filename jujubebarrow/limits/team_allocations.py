"""Units of one team's upper limit that one instance owns, lends and borrows."""

from jujubebarrow.identifiers import TeamId
from jujubebarrow.invariants.monitors import InvariantMonitor
from jujubebarrow.limits.loans import Loan
from jujubebarrow.limits.permits import Permit


class TeamAllocation:
    """An instance's own quota of a team's limit, with units lent and borrowed.

    Args:
        team: Id of the team.
        monitor: Monitor that checks that no more units are used and lent than the quota
            has.
        clock_error: Greatest difference between two hosts' clocks, in seconds.
    """

    def __init__(self, team: TeamId, monitor: InvariantMonitor, clock_error: float):
        self._team = team
        self._monitor = monitor
        self._clock_error = clock_error
        self._used = 0
        self._lent_loans: dict[str, Loan] = {}
        self._borrowed_loans: dict[str, Loan] = {}

    @property
    def running(self) -> int:
        """Number of units used by running tasks."""
        return self._used + sum(loan.used for loan in self._borrowed_loans.values())

    @property
    def lent(self) -> int:
        """Number of units lent to other instances."""
        return sum(loan.count for loan in self._lent_loans.values())

    @property
    def borrowed(self) -> int:
        """Number of units borrowed from other instances."""
        return sum(loan.count for loan in self._borrowed_loans.values())

    def lent_until(self) -> float:
        """Return when the last lent loan expires, in seconds since the epoch."""
        ends = [loan.until for loan in self._lent_loans.values()]
        return max(ends, default=0.0)

    def count_free(self, quota: int) -> int:
        """Return how many units of the own quota are neither used nor lent."""
        return max(0, quota - self.lent - self._used)

    def is_overdrawn(self, quota: int) -> bool:
        """Return whether more units are used and lent than the own quota has."""
        return self._used + self.lent > quota

    def expire(self, now: float) -> None:
        """Drop expired loans, on the lender's and on the borrower's side."""
        for key, loan in list(self._lent_loans.items()):
            if now > loan.until + self._clock_error:
                del self._lent_loans[key]
        for key, loan in list(self._borrowed_loans.items()):
            if now > loan.until and loan.used == 0:
                del self._borrowed_loans[key]

    def acquire(self, quota: int, now: float, lease_end: float) -> Permit | None:
        """Acquire a unit for a task.

        Args:
            quota: Own quota of the instance, in units.
            now: Current time in seconds since the epoch.
            lease_end: End of the task's lease in seconds since the epoch.

        Returns:
            The permit, or None if no unit is free for the whole lease.
        """
        self.expire(now)
        if self.count_free(quota) > 0:
            self._used += 1
            self._monitor.check(
                self._used + self.lent <= quota,
                "team-limit",
                f"{self._team}: {self._used} used and {self.lent} lent of {quota}",
            )
            return Permit(self._team, None)
        for loan in self._borrowed_loans.values():
            has_free_unit = loan.used < loan.count and not loan.is_recalled
            if has_free_unit and lease_end <= loan.until:
                loan.used += 1
                return Permit(self._team, loan.loan_id)
        return None

    def release(self, permit: Permit, now: float) -> None:
        """Release a unit after the task has ended or the task's lease has expired."""
        if permit.loan_id is None:
            self._used -= 1
            self._monitor.check(self._used >= 0, "permit-released-twice", self._team)
            return
        loan = self._borrowed_loans[permit.loan_id]
        loan.used -= 1
        loan.idle_since = now
        self._monitor.check(loan.used >= 0, "permit-released-twice", self._team)

    def lend(self, loan: Loan, quota: int, now: float) -> Loan | None:
        """Lend the free units, up to the requested count of a loan.

        Returns:
            The loan with the granted count, or None if no unit is free.
        """
        self.expire(now)
        count = min(loan.count, self.count_free(quota))
        if count <= 0:
            return None
        granted = Loan(loan.loan_id, loan.peer, count, loan.until)
        self._lent_loans[loan.loan_id] = granted
        return granted

    def add_borrowed(self, loan: Loan) -> None:
        """Add a loan that a peer has granted."""
        self._borrowed_loans[loan.loan_id] = loan

    def return_idle(self, now: float, min_idle: float) -> list[Loan]:
        """Remove and return unused units of loans that are idle or recalled.

        The units are removed before the lender is informed, so that the borrower and
        the lender never use the same unit.

        Args:
            now: Current time in seconds since the epoch.
            min_idle: Time in seconds for which a loan must have been idle.
        """
        returned = []
        for key, loan in list(self._borrowed_loans.items()):
            unused = loan.count - loan.used
            is_retained = now - loan.idle_since < min_idle and not loan.is_recalled
            if unused == 0 or is_retained:
                continue
            loan.count = loan.used
            if loan.count == 0:
                del self._borrowed_loans[key]
            returned.append(Loan(loan.loan_id, loan.peer, unused, loan.until))
        return returned

    def recall(self, peer: str) -> None:
        """Mark the loans from a lender as recalled."""
        for loan in self._borrowed_loans.values():
            if loan.peer == peer:
                loan.is_recalled = True

    def borrowers(self) -> list[str]:
        """Return the peers that have borrowed units from this instance."""
        return list({loan.peer for loan in self._lent_loans.values()})

    def add_returned(self, loan_id: str, count: int) -> None:
        """Add units that a borrower has returned before the loan expired."""
        loan = self._lent_loans.get(loan_id)
        if loan is None:
            return
        loan.count -= count
        if loan.count <= 0:
            del self._lent_loans[loan_id]
