"""Handles requests from peers."""

from collections.abc import Callable

from jujubebarrow.configurations.configurations import Configuration
from jujubebarrow.errors.exceptions import RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.homes.home_services import HomeService
from jujubebarrow.identifiers import TeamId
from jujubebarrow.limits.ledgers import LimitLedger
from jujubebarrow.limits.loans import Loan
from jujubebarrow.peers.configuration_messages import ChangesReply, ChangesRequest
from jujubebarrow.peers.explanation_messages import ExplainReply, ExplainRequest
from jujubebarrow.peers.forward_messages import Forward, ForwardRefusal, ForwardResult
from jujubebarrow.peers.handlers import PeerHandler
from jujubebarrow.peers.heartbeat_messages import Ping, Pong
from jujubebarrow.peers.identities import PeerIdentity
from jujubebarrow.peers.loan_messages import (
    LoanReply,
    LoanRequest,
    LoanReturn,
    LoanReturnReply,
)
from jujubebarrow.peers.messages import Reply, Request
from jujubebarrow.peers.status_messages import StatusReply, StatusRequest
from jujubebarrow.services.explanations import ExplanationLog
from jujubebarrow.services.seat_services import SeatService
from jujubebarrow.services.status_reporters import StatusReporter
from jujubebarrow.settings.settings import Settings


class PeerRequestHandler(PeerHandler):
    """Dispatches each request from a peer to the responsible service.

    Args:
        instance: Id of this instance.
        settings: Settings with the duration of loans.
        configuration: Records in force in this process.
        ledger: Ledger of the upper limits, which lends units to peers.
        home: Service that runs forwarded requests.
        seats: Service that tracks the holders of seats.
        reporter: Source of this instance's status.
        explanations: Log of recent decisions.
        on_address: Called with the address of each peer that sends a heartbeat.
        on_recall: Called after a loan request, which also recalls the loans that the
            requesting peer made to this instance.
        is_stopping: Returns whether this instance is shutting down.
    """

    def __init__(
        self,
        instance: str,
        settings: Settings,
        configuration: Configuration,
        ledger: LimitLedger,
        home: HomeService,
        seats: SeatService,
        reporter: StatusReporter,
        explanations: ExplanationLog,
        on_address: Callable[[str], None],
        on_recall: Callable[[], None],
        is_stopping: Callable[[], bool],
    ):
        self._instance = instance
        self._settings = settings
        self._configuration = configuration
        self._ledger = ledger
        self._home = home
        self._seats = seats
        self._reporter = reporter
        self._explanations = explanations
        self._on_address = on_address
        self._on_recall = on_recall
        self._is_stopping = is_stopping

    async def handle(self, request: Request, peer: PeerIdentity) -> Reply:
        """Handle a request and return the reply."""
        match request:
            case Forward():
                return await self._handle_forward(request, peer)
            case Ping():
                return self._handle_ping(request, peer)
            case LoanRequest():
                return self._handle_loan_request(request, peer)
            case LoanReturn():
                return self._handle_loan_return(request, peer)
            case ChangesRequest():
                return self._handle_changes_request(request, peer)
            case ExplainRequest():
                return self._handle_explain_request(request, peer)
            case StatusRequest():
                return StatusReply(
                    serial=request.serial,
                    to=peer.incarnation,
                    status=self._reporter.make_full_status(),
                )

    def _handle_ping(self, request: Ping, peer: PeerIdentity) -> Pong:
        self._on_address(request.address)
        self._seats.record_holder(peer.incarnation, request.seat)
        status = self._reporter.make_changed_status(
            peer.incarnation, request.acknowledged
        )
        return Pong(serial=request.serial, to=peer.incarnation, status=status)

    async def _handle_forward(self, request: Forward, peer: PeerIdentity) -> Reply:
        try:
            if self._is_stopping():
                raise RefusalError(ErrorKind.SHUTTING_DOWN, retry_after=1.0)
            result = await self._home.run(request, request.remaining)
        except RefusalError as error:
            return ForwardRefusal(
                serial=request.serial,
                to=peer.incarnation,
                error=error.kind,
                detail=error.detail,
                run=error.run,
                retry_after=error.retry_after,
            )
        return ForwardResult(
            serial=request.serial,
            to=peer.incarnation,
            request=request.request,
            status=result.status,
            content_type=result.content_type,
            length=len(result.body),
            body=result.body,
            upstream=result.upstream,
            replayed=result.replayed,
        )

    def _handle_loan_request(
        self, request: LoanRequest, peer: PeerIdentity
    ) -> LoanReply:
        team = TeamId(request.team)
        requested = request.wanted
        self._ledger.recall(team, peer.instance)
        self._on_recall()
        # The team's requests that wait at this instance take precedence over the team's
        # requests that wait at the peer.
        if self._home.waiting_count(team):
            requested = 0
        loan = None
        if requested and not self._is_stopping():
            loan = self._ledger.lend(
                team, requested, peer.instance, self._settings.loan_period
            )
        return _make_loan_reply(request.serial, peer, loan)

    def _handle_loan_return(
        self, request: LoanReturn, peer: PeerIdentity
    ) -> LoanReturnReply:
        self._ledger.add_returned(TeamId(request.team), request.loan, request.count)
        self._home.start_all_waiting()
        return LoanReturnReply(serial=request.serial, to=peer.incarnation)

    def _handle_changes_request(
        self, request: ChangesRequest, peer: PeerIdentity
    ) -> ChangesReply:
        return ChangesReply(
            serial=request.serial,
            to=peer.incarnation,
            rows=self._configuration.list_changes(request.since),
        )

    def _handle_explain_request(
        self, request: ExplainRequest, peer: PeerIdentity
    ) -> ExplainReply:
        return ExplainReply(
            serial=request.serial,
            to=peer.incarnation,
            lines=[
                (entry.time, self._instance, entry.sentence)
                for entry in self._explanations.find(request.subject)
            ],
        )


def _make_loan_reply(serial: int, peer: PeerIdentity, loan: Loan | None) -> LoanReply:
    return LoanReply(
        serial=serial,
        to=peer.incarnation,
        loan=loan.loan_id if loan else "",
        count=loan.count if loan else 0,
        until=loan.until if loan else 0.0,
    )
