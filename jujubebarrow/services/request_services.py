"""Routes callers' requests to a home in this process or at a peer."""

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.configurations.configurations import Configuration
from jujubebarrow.errors.exceptions import PeerLostError, RefusalError
from jujubebarrow.errors.kinds import ErrorKind
from jujubebarrow.errors.run_states import RunState
from jujubebarrow.homes.home_services import CLAIMED_KINDS, HomeService
from jujubebarrow.homes.run_results import RunResult
from jujubebarrow.invariants.monitors import InvariantMonitor
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.peers.forward_messages import Forward, ForwardRefusal, ForwardResult
from jujubebarrow.peers.messages import Reply
from jujubebarrow.retries.budgets import RetryBudget
from jujubebarrow.routes.homes import HomeCandidate, HomeDirectory
from jujubebarrow.services.peer_services import PeerService
from jujubebarrow.settings.settings import Settings

NEXT_HOME_KINDS = frozenset(
    {
        ErrorKind.QUEUE_FULL,
        ErrorKind.DEADLINE_UNREACHABLE,
        ErrorKind.NO_UPSTREAM,
        ErrorKind.UPSTREAM_REFUSED,
        ErrorKind.PEER_UNREACHABLE,
        ErrorKind.SHUTTING_DOWN,
        ErrorKind.NOT_READY,
    }
)
"""Kinds of refusals after which the next home may run the request."""
HOME_LIMIT = 3
"""Maximum number of homes that one request is sent to."""
REPLY_MARGIN_SECONDS = 1.0


class RequestService:
    """Chooses a home for each request and retries at other homes if that is safe.

    Args:
        instance: Id of this instance.
        configuration: Records in force in this process.
        homes: Directory of the homes of each pool.
        home: Home service of this instance.
        peers: Client for requests to peers.
        clock: Time source.
        settings: Settings with the bounds of the retry budget.
        metrics: Registry of the counters.
        monitor: Monitor that checks that responses match their requests.
    """

    def __init__(
        self,
        instance: str,
        configuration: Configuration,
        homes: HomeDirectory,
        home: HomeService,
        peers: PeerService,
        clock: Clock,
        settings: Settings,
        metrics: MetricsRegistry,
        monitor: InvariantMonitor,
    ):
        self._instance = instance
        self._configuration = configuration
        self._homes = homes
        self._home = home
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._monitor = monitor
        self._budget = RetryBudget(settings.retry_ratio, settings.retry_reserve)
        self._active_count = 0

    @property
    def active_count(self) -> int:
        """Number of requests without a response."""
        return self._active_count

    async def run(self, request: Forward) -> RunResult:
        """Run a request at a home and return the complete response.

        Raises:
            RefusalError: The queue does not exist, or no home returned a response;
                `run` of the error states whether the request may have run.
        """
        self._active_count += 1
        try:
            return await self._run(request)
        finally:
            self._active_count -= 1

    async def _run(self, request: Forward) -> RunResult:
        queue = self._configuration.queue(request.queue)
        if queue is None:
            raise RefusalError(ErrorKind.UNKNOWN_QUEUE, request.queue)
        self._budget.deposit()
        deadline = self._clock.monotonic() + request.remaining
        candidates = self._homes.candidates(queue.pool)[:HOME_LIMIT]
        refusal: RefusalError | None = None
        may_have_run = is_claimed = False
        for candidate in candidates:
            try:
                return await self._run_at(request, candidate, deadline)
            except RefusalError as error:
                may_have_run = may_have_run or error.run is not RunState.NOT_RUN
                is_claimed = is_claimed or error.kind in CLAIMED_KINDS
                refusal = _choose_refusal(refusal, error)
                if not self._try_reserve_retry(error, queue.idempotent, deadline):
                    break
        refusal = refusal or RefusalError(
            ErrorKind.NO_UPSTREAM, f"no home of pool {queue.pool}", retry_after=1.0
        )
        if may_have_run and refusal.run is RunState.NOT_RUN:
            refusal.run = RunState.UNKNOWN
        refusal.is_claimed = is_claimed and not queue.idempotent
        raise refusal

    def _try_reserve_retry(
        self, error: RefusalError, is_idempotent: bool, deadline: float
    ) -> bool:
        if self._clock.monotonic() >= deadline:
            return False
        if error.kind is ErrorKind.PEER_LOST:
            if not is_idempotent or not self._budget.withdraw():
                return False
        elif error.kind not in NEXT_HOME_KINDS or error.run is not RunState.NOT_RUN:
            return False
        self._metrics.count("retry", f"home-{error.kind.value}")
        return True

    async def _run_at(
        self, request: Forward, candidate: HomeCandidate, deadline: float
    ) -> RunResult:
        remaining = deadline - self._clock.monotonic()
        if candidate.wait >= remaining:
            raise RefusalError(
                ErrorKind.DEADLINE_UNREACHABLE, candidate.zone, candidate.wait
            )
        if candidate.instance == self._instance:
            return await self._home.run(request, remaining)
        forwarded = request.model_copy(update={"remaining": remaining})
        self._metrics.count("forwarded", candidate.zone)
        return await self._run_at_peer(forwarded, candidate.instance, remaining)

    async def _run_at_peer(
        self, request: Forward, instance: str, remaining: float
    ) -> RunResult:
        timeout = remaining + REPLY_MARGIN_SECONDS
        try:
            reply = await self._peers.request(instance, request, timeout)
        except PeerLostError as error:
            kind = (
                ErrorKind.PEER_LOST
                if error.may_have_arrived
                else ErrorKind.PEER_UNREACHABLE
            )
            raise RefusalError(kind, instance, retry_after=1.0) from error
        return self._convert_reply(request, reply)

    def _convert_reply(self, request: Forward, reply: Reply) -> RunResult:
        if isinstance(reply, ForwardRefusal):
            raise RefusalError(reply.error, reply.detail, reply.retry_after, reply.run)
        self._monitor.check(
            isinstance(reply, ForwardResult) and reply.request == request.request,
            "crossed-answer",
            request.request,
        )
        assert isinstance(reply, ForwardResult)
        self._monitor.check(
            len(reply.body) == reply.length, "incomplete-answer", request.request
        )
        return RunResult(
            reply.status,
            reply.content_type,
            reply.body,
            reply.upstream,
            reply.replayed,
        )


def _choose_refusal(first: RefusalError | None, second: RefusalError) -> RefusalError:
    # The refusal by the first home, which usually is in this instance's zone, is more
    # useful to the caller than the refusal by a later home, unless the request may have
    # run at the later home.
    if first is None or second.run is not RunState.NOT_RUN:
        return second
    return first
