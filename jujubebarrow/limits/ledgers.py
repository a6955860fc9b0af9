"""Ledger of the teams' upper limits at one instance."""

from itertools import count

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.configurations.configurations import Configuration
from jujubebarrow.identifiers import TeamId
from jujubebarrow.invariants.monitors import InvariantMonitor
from jujubebarrow.limits.loans import Loan
from jujubebarrow.limits.permits import Permit
from jujubebarrow.limits.seat_quotas import compute_seat_quota
from jujubebarrow.limits.team_allocations import TeamAllocation

LOAN_IDLE_SECONDS = 0.3
"""Time without use after which borrowed units are returned."""


class LimitLedger:
    """Enforces the teams' upper limits without a central coordinator.

    Each seat has a quota, a fixed part of each limit. Units move between instances only
    as loans: the lender subtracts the units before the borrower adds them, and each
    loan expires by itself.

    Args:
        configuration: Records of the teams and their upper limits.
        clock: Clock by which loans expire and seats become usable.
        monitor: Monitor that checks that the limits hold.
        seat_count: Total number of seats.
        clock_error: Greatest difference between two hosts' clocks, in seconds.
        incarnation: Id of this process, which makes loan ids unique.
    """

    def __init__(
        self,
        configuration: Configuration,
        clock: Clock,
        monitor: InvariantMonitor,
        seat_count: int,
        clock_error: float,
        incarnation: str,
    ):
        self._configuration = configuration
        self._clock = clock
        self._monitor = monitor
        self._seat_count = seat_count
        self._clock_error = clock_error
        self._incarnation = incarnation
        self._usable_from: dict[int, float] = {}
        self._allocations: dict[TeamId, TeamAllocation] = {}
        self._loan_serials = count(1)

    @property
    def seats(self) -> list[int]:
        """Numbers of the seats that this instance has."""
        return list(self._usable_from)

    def add_seat(self, seat: int, usable_from: float) -> None:
        """Add a seat of this instance.

        Args:
            seat: Number of the seat.
            usable_from: Time from which the seat's quotas may be used,
                in seconds since the epoch.
        """
        self._usable_from[seat] = usable_from

    def remove_seat(self, seat: int) -> None:
        """Remove a seat, even if units of its quota are in use."""
        self._usable_from.pop(seat, None)

    def try_remove_seat(self, seat: int) -> bool:
        """Remove a seat if the other seats cover all units that are used or lent.

        Returns:
            Whether the seat was removed.
        """
        usable_from = self._usable_from.pop(seat)
        for team, allocation in self._allocations.items():
            allocation.expire(self._clock.wall())
            if allocation.is_overdrawn(self.own_quota(team)):
                self._usable_from[seat] = usable_from
                return False
        return True

    def own_quota(self, team: TeamId) -> int:
        """Return a team's quota at this instance, summed over the usable seats."""
        record = self._configuration.team(team)
        if record is None:
            return 0
        now = self._clock.wall()
        return sum(
            compute_seat_quota(record.limit, seat, self._seat_count, team)
            for seat, usable_from in self._usable_from.items()
            if now >= usable_from
        )

    def running(self, team: TeamId) -> int:
        """Return how many tasks of a team run with a permit of this instance."""
        allocation = self._allocations.get(team)
        return allocation.running if allocation else 0

    def usable(self, team: TeamId) -> int:
        """Return how many units of a team this instance can use, with those in use."""
        allocation = self._get_allocation(team)
        allocation.expire(self._clock.wall())
        return max(0, self.own_quota(team) - allocation.lent) + allocation.borrowed

    def acquire(self, team: TeamId, lease_end: float) -> Permit | None:
        """Acquire a unit for a task, or return None if no unit is free.

        Args:
            team: Team of the task.
            lease_end: End of the task's lease in seconds since the epoch.
        """
        now = self._clock.wall()
        return self._get_allocation(team).acquire(self.own_quota(team), now, lease_end)

    def release(self, permit: Permit) -> None:
        """Release the unit of a permit."""
        self._get_allocation(permit.team).release(permit, self._clock.wall())

    def lend(
        self, team: TeamId, requested: int, peer: str, period: float
    ) -> Loan | None:
        """Lend free units to a peer, or return None if no unit is free.

        Args:
            team: Team whose units are lent.
            requested: Number of units that the peer requests.
            peer: Id of the borrowing instance.
            period: Length of the loan in seconds.
        """
        now = self._clock.wall()
        loan_id = f"{self._incarnation}/{next(self._loan_serials)}"
        offer = Loan(loan_id, peer, requested, now + period)
        return self._get_allocation(team).lend(offer, self.own_quota(team), now)

    def add_borrowed(self, team: TeamId, loan: Loan) -> None:
        """Add a loan that a peer has granted."""
        loan.idle_since = self._clock.wall()
        self._get_allocation(team).add_borrowed(loan)

    def add_returned(self, team: TeamId, loan_id: str, units: int) -> None:
        """Add units that a borrower has returned before the loan expired."""
        self._get_allocation(team).add_returned(loan_id, units)

    def recall(self, team: TeamId, peer: str) -> None:
        """Use a lender's loans for no further task, as the lender needs the units."""
        self._get_allocation(team).recall(peer)

    def borrowers(self, team: TeamId) -> list[str]:
        """Return the peers that have borrowed units of a team."""
        return self._get_allocation(team).borrowers()

    def return_idle(self) -> list[tuple[TeamId, Loan]]:
        """Remove and return the unused units of idle or recalled loans."""
        now = self._clock.wall()
        return [
            (team, loan)
            for team, allocation in self._allocations.items()
            for loan in allocation.return_idle(now, LOAN_IDLE_SECONDS)
        ]

    def lent_until(self) -> float:
        """Return when the last lent loan expires, in seconds since the epoch."""
        ends = [allocation.lent_until() for allocation in self._allocations.values()]
        return max(ends, default=0.0)

    def _get_allocation(self, team: TeamId) -> TeamAllocation:
        allocation = self._allocations.get(team)
        if allocation is None:
            allocation = TeamAllocation(team, self._monitor, self._clock_error)
            self._allocations[team] = allocation
        return allocation
