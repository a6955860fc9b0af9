"""What one instance holds of one team's upper limit."""

from jujubebarrow.identifiers import TeamId
from jujubebarrow.invariants.monitors import InvariantMonitor
from jujubebarrow.limits.loans import Loan
from jujubebarrow.limits.permits import Permit


class Holding:
    """Own part, loans given and loans taken of one team.

    Args:
        team: Team.
        monitor: Checks that no more is used than held.
        clock_error: Greatest difference between two hosts' clocks, in seconds.
    """

    def __init__(self, team: TeamId, monitor: InvariantMonitor, clock_error: float):
        self._team = team
        self._monitor = monitor
        self._clock_error = clock_error
        self._used = 0
        self._given: dict[str, Loan] = {}
        self._taken: dict[str, Loan] = {}

    @property
    def running(self) -> int:
        """Units used by running tasks."""
        return self._used + sum(loan.used for loan in self._taken.values())

    @property
    def lent(self) -> int:
        """Units lent to others."""
        return sum(loan.count for loan in self._given.values())

    @property
    def borrowed(self) -> int:
        """Units borrowed from others."""
        return sum(loan.count for loan in self._taken.values())

    def lent_until(self) -> float:
        """Return the end of the last loan given, in seconds since the epoch."""
        ends = [loan.until for loan in self._given.values()]
        return max(ends, default=0.0)

    def free(self, floor: int) -> int:
        """Return unused units of the seat's own part."""
        return max(0, floor - self.lent - self._used)

    def overdrawn(self, floor: int) -> bool:
        """Return whether more is used and lent than a part holds."""
        return self._used + self.lent > floor

    def expire(self, now: float) -> None:
        """Take back loans given and drop loans taken that have ended."""
        for key, loan in list(self._given.items()):
            if now > loan.until + self._clock_error:
                del self._given[key]
        for key, loan in list(self._taken.items()):
            if now > loan.until and loan.used == 0:
                del self._taken[key]

    def acquire(self, floor: int, now: float, lease_end: float) -> Permit | None:
        """Take a unit for a task.

        Args:
            floor: The seat's own part.
            now: Seconds since the epoch.
            lease_end: End of the task's lease in seconds since the epoch.

        Returns:
            The permit, or None if no unit is free for so long.
        """
        self.expire(now)
        if self.free(floor) > 0:
            self._used += 1
            self._monitor.check(
                self._used + self.lent <= floor,
                "team-limit",
                f"{self._team}: {self._used} used and {self.lent} lent of {floor}",
            )
            return Permit(self._team, None)
        for loan in self._taken.values():
            free = loan.used < loan.count and not loan.recalled
            if free and lease_end <= loan.until:
                loan.used += 1
                return Permit(self._team, loan.loan)
        return None

    def release(self, permit: Permit, now: float) -> None:
        """Give back a unit after the task has ended or its lease has lapsed."""
        if permit.loan is None:
            self._used -= 1
            self._monitor.check(self._used >= 0, "permit-released-twice", self._team)
            return
        loan = self._taken[permit.loan]
        loan.used -= 1
        loan.idle_since = now
        self._monitor.check(loan.used >= 0, "permit-released-twice", self._team)

    def lend(self, loan: Loan, floor: int, now: float) -> Loan | None:
        """Lend as many units as are free, up to the count of a loan.

        Returns:
            The loan with the count granted, or None if nothing is free.
        """
        self.expire(now)
        count = min(loan.count, self.free(floor))
        if count <= 0:
            return None
        granted = Loan(loan.loan, loan.peer, count, loan.until)
        self._given[loan.loan] = granted
        return granted

    def take(self, loan: Loan) -> None:
        """Add a loan that a peer granted."""
        self._taken[loan.loan] = loan

    def return_idle(self, now: float, idle: float) -> list[Loan]:
        """Remove and return the unused units of loans idle for some seconds.

        The units are removed here before the lender hears of it.
        """
        returned = []
        for key, loan in list(self._taken.items()):
            unused = loan.count - loan.used
            kept = now - loan.idle_since < idle and not loan.recalled
            if unused == 0 or kept:
                continue
            loan.count = loan.used
            if loan.count == 0:
                del self._taken[key]
            returned.append(Loan(loan.loan, loan.peer, unused, loan.until))
        return returned

    def recall(self, peer: str) -> None:
        """Mark the loans of a lender that needs them back."""
        for loan in self._taken.values():
            if loan.peer == peer:
                loan.recalled = True

    def borrowers(self) -> list[str]:
        """Return the peers that hold loans given."""
        return list({loan.peer for loan in self._given.values()})

    def restore(self, loan_id: str, count: int) -> None:
        """Take back units that a borrower returned early."""
        loan = self._given.get(loan_id)
        if loan is None:
            return
        loan.count -= count
        if loan.count <= 0:
            del self._given[loan_id]
