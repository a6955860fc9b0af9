"""Borrows units of teams' upper limits from peers."""

from abc import ABC, abstractmethod
from asyncio import Task, create_task, gather, sleep
from collections.abc import Callable

from jujubebarrow.errors.exceptions import PeerLostError
from jujubebarrow.identifiers import TeamId
from jujubebarrow.limits.ledgers import LimitLedger
from jujubebarrow.limits.loans import Loan
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.peers.loan_messages import (
    LoanReply,
    LoanRequest,
    LoanReturn,
)
from jujubebarrow.peers.messages import Reply
from jujubebarrow.peers.messages import Request as PeerRequest
from jujubebarrow.settings.settings import Settings

MIN_ROUND_PAUSE_SECONDS = 0.05
"""Pause after a round, doubled after each further round without a loan."""
MAX_ROUND_PAUSE_SECONDS = 1.0
LOAN_REQUEST_TIMEOUT_SECONDS = 0.5
"""Timeout of one loan request; short, because a frozen peer delays the requests to the
following peers."""


class PeerClient(ABC):
    """Client for requests to peers."""

    @abstractmethod
    def list_responsive_peers(self) -> list[str]:
        """Return the responsive instances in random order."""

    @abstractmethod
    async def request(
        self, instance: str, message: PeerRequest, timeout: float
    ) -> Reply:
        """Send a request to an instance and wait for the reply.

        Raises:
            PeerLostError: No reply was received.
        """


class Borrower:
    """Requests loans for teams that lack units, one round at a time per team.

    Args:
        ledger: Ledger that receives the loans.
        peers: Client for requests to peers.
        settings: Settings with the clock error and the timeout of requests to peers.
        metrics: Registry of the counters.
        on_loan: Called after a round that borrowed units.
    """

    def __init__(
        self,
        ledger: LimitLedger,
        peers: PeerClient,
        settings: Settings,
        metrics: MetricsRegistry,
        on_loan: Callable[[], None],
    ):
        self._ledger = ledger
        self._peers = peers
        self._settings = settings
        self._metrics = metrics
        self._on_loan = on_loan
        self._pauses: dict[TeamId, float] = {}
        self._round_tasks: dict[TeamId, Task[None]] = {}
        self._return_tasks: set[Task[None]] = set()

    async def close(self) -> None:
        """Cancel all rounds and all returns of loans."""
        tasks = [*self._round_tasks.values(), *self._return_tasks]
        for task in tasks:
            task.cancel()
        await gather(*tasks, return_exceptions=True)

    def borrow(self, team: TeamId, units: int) -> None:
        """Start a round that borrows units, unless a round for the team is running."""
        if team in self._round_tasks:
            return
        task = create_task(self._run_round(team, units))
        self._round_tasks[team] = task
        task.add_done_callback(lambda done: self._round_tasks.pop(team, None))

    async def _run_round(self, team: TeamId, units: int) -> None:
        missing = units
        for peer in self._list_candidates(team):
            missing -= await self._request_loan(peer, team, missing)
            if missing <= 0:
                break
        if missing < units:
            self._pauses.pop(team, None)
            self._on_loan()
        pause = self._pauses.get(team, MIN_ROUND_PAUSE_SECONDS)
        self._pauses[team] = min(MAX_ROUND_PAUSE_SECONDS, pause * 2)
        await sleep(pause)

    def _list_candidates(self, team: TeamId) -> list[str]:
        # A loan request to a borrower also recalls the units lent to that borrower.
        borrowers = self._ledger.borrowers(team)
        others = [
            peer
            for peer in self._peers.list_responsive_peers()
            if peer not in borrowers
        ]
        return borrowers + others

    async def _request_loan(self, peer: str, team: TeamId, units: int) -> int:
        request = LoanRequest(team=team, wanted=units)
        try:
            reply = await self._peers.request(
                peer, request, LOAN_REQUEST_TIMEOUT_SECONDS
            )
        except PeerLostError:
            # If the peer granted a loan but the reply was lost, the loan expires at the
            # lender.
            self._metrics.count("loan", "lost")
            return 0
        if not isinstance(reply, LoanReply) or reply.count == 0:
            self._metrics.count("loan", "none")
            return 0
        until = reply.until - self._settings.clock_error
        self._ledger.add_borrowed(team, Loan(reply.loan, peer, reply.count, until))
        self._metrics.count("loan", "taken")
        return reply.count

    def return_idle(self) -> None:
        """Return borrowed units that are idle or recalled to their lenders."""
        for team, loan in self._ledger.return_idle():
            task = create_task(self._return_loan(team, loan))
            self._return_tasks.add(task)
            task.add_done_callback(self._return_tasks.discard)

    async def _return_loan(self, team: TeamId, loan: Loan) -> None:
        message = LoanReturn(team=team, loan=loan.loan_id, count=loan.count)
        try:
            await self._peers.request(loan.peer, message, self._settings.peer_timeout)
            self._metrics.count("loan", "returned")
        except PeerLostError:
            # The loan expires at the lender.
            self._metrics.count("loan", "return-lost")
