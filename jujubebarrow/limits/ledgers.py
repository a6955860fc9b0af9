"""Upper limits of all teams at one instance."""

from itertools import count

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.configurations.configurations import Configuration
from jujubebarrow.identifiers import TeamId
from jujubebarrow.invariants.monitors import InvariantMonitor
from jujubebarrow.limits.floors import floor_of
from jujubebarrow.limits.holdings import Holding
from jujubebarrow.limits.loans import Loan
from jujubebarrow.limits.permits import Permit

LOAN_IDLE_SECONDS = 0.3


class LimitLedger:
    """Keeps every team within its upper limit without asking anyone.

    Each seat owns a fixed part of each limit. A part moves only as a loan that
    the lender subtracts before the borrower adds it, and that ends by itself.

    Args:
        configuration: Source of the limits.
        clock: Time source.
        monitor: Checks the limits.
        seats: Number of seats.
        clock_error: Greatest difference between two hosts' clocks, in seconds.
        incarnation: This process, which makes loan identifiers unique.
    """

    def __init__(
        self,
        configuration: Configuration,
        clock: Clock,
        monitor: InvariantMonitor,
        seats: int,
        clock_error: float,
        incarnation: str,
    ):
        self._configuration = configuration
        self._clock = clock
        self._monitor = monitor
        self._seats = seats
        self._clock_error = clock_error
        self._incarnation = incarnation
        self._grants: dict[int, float] = {}
        self._holdings: dict[TeamId, Holding] = {}
        self._serial = count(1)

    @property
    def seats(self) -> list[int]:
        """Seats of this instance."""
        return list(self._grants)

    def add_seat(self, seat: int, usable_from: float) -> None:
        """Add a seat.

        Args:
            seat: Number of the seat.
            usable_from: Time from which its part may be used, in seconds since
                the epoch.
        """
        self._grants[seat] = usable_from

    def drop_seat(self, seat: int) -> None:
        """Remove a seat, whatever runs on it."""
        self._grants.pop(seat, None)

    def try_drop_seat(self, seat: int) -> bool:
        """Remove a seat if nothing runs or is lent on its part."""
        usable_from = self._grants.pop(seat)
        for team, holding in self._holdings.items():
            holding.expire(self._clock.wall())
            if holding.overdrawn(self.floor(team)):
                self._grants[seat] = usable_from
                return False
        return True

    def floor(self, team: TeamId) -> int:
        """Return the part of a team's limit that this instance owns now."""
        record = self._configuration.team(team)
        if record is None:
            return 0
        now = self._clock.wall()
        return sum(
            floor_of(record.limit, seat, self._seats, team)
            for seat, usable_from in self._grants.items()
            if now >= usable_from
        )

    def running(self, team: TeamId) -> int:
        """Return how many tasks of a team run from here."""
        holding = self._holdings.get(team)
        return holding.running if holding else 0

    def usable(self, team: TeamId) -> int:
        """Return the units of a team that this instance can use now."""
        holding = self._holding(team)
        holding.expire(self._clock.wall())
        return max(0, self.floor(team) - holding.lent) + holding.borrowed

    def acquire(self, team: TeamId, lease_end: float) -> Permit | None:
        """Take a unit for a task whose lease ends at a moment.

        Args:
            team: Team.
            lease_end: Seconds since the epoch.
        """
        now = self._clock.wall()
        return self._holding(team).acquire(self.floor(team), now, lease_end)

    def release(self, permit: Permit) -> None:
        """Give back a unit."""
        self._holding(permit.team).release(permit, self._clock.wall())

    def lend(self, team: TeamId, wanted: int, peer: str, period: float) -> Loan | None:
        """Lend free units to a peer.

        Args:
            team: Team.
            wanted: Units asked for.
            peer: Instance that borrows.
            period: Length of the loan in seconds.
        """
        now = self._clock.wall()
        loan_id = f"{self._incarnation}/{next(self._serial)}"
        offer = Loan(loan_id, peer, wanted, now + period)
        return self._holding(team).lend(offer, self.floor(team), now)

    def take(self, team: TeamId, loan: Loan) -> None:
        """Add units that a peer lent."""
        loan.idle_since = self._clock.wall()
        self._holding(team).take(loan)

    def restore(self, team: TeamId, loan_id: str, units: int) -> None:
        """Take back units that a borrower returned early."""
        self._holding(team).restore(loan_id, units)

    def recall(self, team: TeamId, peer: str) -> None:
        """Start nothing more on the loans of a lender that needs them back."""
        self._holding(team).recall(peer)

    def borrowers(self, team: TeamId) -> list[str]:
        """Return the peers that hold loans of a team."""
        return self._holding(team).borrowers()

    def return_idle(self) -> list[tuple[TeamId, Loan]]:
        """Remove and return the unused parts of idle loans."""
        now = self._clock.wall()
        return [
            (team, loan)
            for team, holding in self._holdings.items()
            for loan in holding.return_idle(now, LOAN_IDLE_SECONDS)
        ]

    def lent_until(self) -> float:
        """Return the end of the last loan given, in seconds since the epoch."""
        ends = [holding.lent_until() for holding in self._holdings.values()]
        return max(ends, default=0.0)

    def _holding(self, team: TeamId) -> Holding:
        holding = self._holdings.get(team)
        if holding is None:
            holding = Holding(team, self._monitor, self._clock_error)
            self._holdings[team] = holding
        return holding
