"""Borrows parts of upper limits from peers."""

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

SHORTEST_PAUSE_SECONDS = 0.05
LONGEST_PAUSE_SECONDS = 1.0
ASK_TIMEOUT_SECONDS = 0.5
"""Time for a peer to answer, so that a frozen one delays only shortly."""


class PeerCalls(ABC):
    """Requests to peers."""

    @abstractmethod
    def peers_alive(self) -> list[str]:
        """Return the instances that answered lately, in random order."""

    @abstractmethod
    async def request(
        self, instance: str, message: PeerRequest, timeout: float
    ) -> Reply:
        """Send a request and wait for its reply.

        Raises:
            PeerLostError: There is no reply.
        """


class Borrower:
    """Asks peers for units of teams that lack them, one round at a time.

    Args:
        ledger: Gets the loans.
        peers: Peers to ask.
        settings: Timeouts.
        metrics: Where loans are counted.
        on_loan: Called after a loan was taken.
    """

    def __init__(
        self,
        ledger: LimitLedger,
        peers: PeerCalls,
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
        self._rounds: dict[TeamId, Task[None]] = {}
        self._returns: set[Task[None]] = set()

    async def close(self) -> None:
        """Stop all rounds."""
        rounds = [*self._rounds.values(), *self._returns]
        for task in rounds:
            task.cancel()
        await gather(*rounds, return_exceptions=True)

    def want(self, team: TeamId, units: int) -> None:
        """Borrow units of a team unless a round for it is under way."""
        if team in self._rounds:
            return
        task = create_task(self._borrow(team, units))
        self._rounds[team] = task
        task.add_done_callback(lambda done: self._rounds.pop(team, None))

    async def _borrow(self, team: TeamId, units: int) -> None:
        missing = units
        for peer in self._candidates(team):
            missing -= await self._ask(peer, team, missing)
            if missing <= 0:
                break
        if missing < units:
            self._pauses.pop(team, None)
            self._on_loan()
        pause = self._pauses.get(team, SHORTEST_PAUSE_SECONDS)
        self._pauses[team] = min(LONGEST_PAUSE_SECONDS, pause * 2)
        await sleep(pause)

    def _candidates(self, team: TeamId) -> list[str]:
        # Asking a borrower also recalls what was lent to it.
        borrowers = self._ledger.borrowers(team)
        others = [peer for peer in self._peers.peers_alive() if peer not in borrowers]
        return borrowers + others

    async def _ask(self, peer: str, team: TeamId, units: int) -> int:
        request = LoanRequest(team=team, wanted=units)
        try:
            reply = await self._peers.request(peer, request, ASK_TIMEOUT_SECONDS)
        except PeerLostError:
            # A loan whose answer was lost ends by itself at the lender.
            self._metrics.count("loan", "lost")
            return 0
        if not isinstance(reply, LoanReply) or reply.count == 0:
            self._metrics.count("loan", "none")
            return 0
        until = reply.until - self._settings.clock_error
        self._ledger.add_borrowed(team, Loan(reply.loan, peer, reply.count, until))
        self._metrics.count("loan", "taken")
        return reply.count

    def hurry(self) -> None:
        """Give units back that are idle or recalled."""
        for team, loan in self._ledger.return_idle():
            task = create_task(self._return(team, loan))
            self._returns.add(task)
            task.add_done_callback(self._returns.discard)

    async def _return(self, team: TeamId, loan: Loan) -> None:
        message = LoanReturn(team=team, loan=loan.loan, count=loan.count)
        try:
            await self._peers.request(loan.peer, message, self._settings.peer_timeout)
            self._metrics.count("loan", "returned")
        except PeerLostError:
            # The loan ends by itself at the lender.
            self._metrics.count("loan", "return-lost")
