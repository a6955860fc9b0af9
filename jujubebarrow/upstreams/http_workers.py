"""Workers' task interface over HTTP."""

from jujubebarrow.coordinators.order_results import OrderOutcome, OrderResult
from jujubebarrow.coordinators.orders import (
    RenewalOrder,
    StartOrder,
    StopOrder,
    ThrottleOrder,
)
from jujubebarrow.gateways.worker_gateways import (
    WorkerFencedError,
    WorkerGateway,
    WorkerSilentError,
)
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.transports.http_clients import HttpCallError, HttpClient
from jujubebarrow.upstreams.task_messages import (
    FENCED_STATUS,
    HOLD_PATH,
    MEDIA_TYPE,
    PACE_PATH,
    START_PATH,
    STOP_PATH,
    Order,
    UnreadableMessageError,
    decode_message,
    encode_message,
)
from jujubebarrow.workloads.worker_reports import RenewalReport

CONNECTIONS = 200
"""Calls at a time; one waits at each worker of a pool, the rest are orders."""
ORDER_TIMEOUT = 0.5
"""Seconds for an order; a repeat is harmless."""
HOLD_MARGIN = 0.5
"""Seconds for an answer beyond the time that a worker was told to wait."""
OK = 200


class HttpWorkers(WorkerGateway):
    """Client of the workers' task interface.

    Args:
        metrics: Counters.
    """

    def __init__(self, metrics: MetricsRegistry):
        self._metrics = metrics
        self._client = HttpClient(CONNECTIONS)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def start(self, order: StartOrder) -> OrderResult:
        """Start a run."""
        return await self._order(START_PATH, order)

    async def stop(self, order: StopOrder) -> OrderResult:
        """Stop a run."""
        return await self._order(STOP_PATH, order)

    async def throttle(self, order: ThrottleOrder) -> OrderResult:
        """Set the share of its speed at which a run works."""
        return await self._order(PACE_PATH, order)

    async def _order(
        self, path: str, order: StartOrder | StopOrder | ThrottleOrder
    ) -> OrderResult:
        try:
            status, body = await self._post(path, order, ORDER_TIMEOUT)
        except HttpCallError as error:
            outcome = OrderOutcome.UNACKNOWLEDGED
            if not error.may_have_arrived:
                outcome = OrderOutcome.UNREACHED
            return OrderResult(outcome, None, str(error))
        if status != OK:
            return OrderResult(OrderOutcome.UNACKNOWLEDGED, None, f"status {status}")
        try:
            return decode_message(body, OrderResult)
        except UnreadableMessageError as error:
            self._metrics.count("worker_unreadable", path)
            return OrderResult(OrderOutcome.UNACKNOWLEDGED, None, str(error))

    async def renew_lease(self, order: RenewalOrder) -> RenewalReport:
        """Extend the lease and return the lists of runs and ends."""
        try:
            status, body = await self._post(HOLD_PATH, order, HOLD_MARGIN + order.wait)
        except HttpCallError as error:
            raise WorkerSilentError(str(error)) from error
        if status == FENCED_STATUS:
            raise WorkerFencedError(order.worker)
        if status != OK:
            raise WorkerSilentError(f"status {status}")
        try:
            return decode_message(body, RenewalReport)
        except UnreadableMessageError as error:
            self._metrics.count("worker_unreadable", HOLD_PATH)
            raise WorkerSilentError(str(error)) from error

    async def _post(self, path: str, order: Order, timeout: float) -> tuple[int, bytes]:
        self._metrics.count("worker_call", path)
        url = f"http://{order.address}{path}"
        headers = {"Content-Type": MEDIA_TYPE}
        body = encode_message(order)
        answer = await self._client.call("POST", url, timeout, body, headers)
        return answer.status, answer.body
