"""HTTP client of the workers' task interface."""

from dataclasses import replace

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
from jujubebarrow.transports.http_clients import (
    ClientResponse,
    HttpCallError,
    HttpClient,
)
from jujubebarrow.upstreams.task_messages import (
    FENCED_STATUS,
    MEDIA_TYPE,
    RENEWAL_PATH,
    START_PATH,
    STOP_PATH,
    THROTTLE_PATH,
    Order,
    UnreadableMessageError,
    decode_message,
    encode_message,
)
from jujubebarrow.workloads.worker_reports import RenewalReport

CONNECTION_LIMIT = 200
"""Limit of concurrent calls. Each worker of a pool has one pending lease renewal; the
other calls are orders."""
ORDER_TIMEOUT_SECONDS = 0.5
"""Timeout of an order. An order that timed out can be repeated without side effects."""
RENEWAL_MARGIN_SECONDS = 0.5
"""Time allowed for the response beyond the wait that the renewal order specifies."""
OK_STATUS = 200


class HttpWorkerGateway(WorkerGateway):
    """HTTP client that sends orders and lease renewals to workers.

    Args:
        metrics: Registry of the counters.
    """

    def __init__(self, metrics: MetricsRegistry):
        self._metrics = metrics
        self._client = HttpClient(CONNECTION_LIMIT)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def start(self, order: StartOrder) -> OrderResult:
        """Order a worker to start a run."""
        return await self._send_order(START_PATH, order)

    async def stop(self, order: StopOrder) -> OrderResult:
        """Order a worker to stop a run."""
        return await self._send_order(STOP_PATH, order)

    async def throttle(self, order: ThrottleOrder) -> OrderResult:
        """Order a worker to throttle a run to a percentage of its full speed."""
        return await self._send_order(THROTTLE_PATH, order)

    async def _send_order(
        self, path: str, order: StartOrder | StopOrder | ThrottleOrder
    ) -> OrderResult:
        try:
            response = await self._post(
                path, order, ORDER_TIMEOUT_SECONDS, may_resend=path != START_PATH
            )
        except HttpCallError as error:
            outcome = OrderOutcome.UNACKNOWLEDGED
            if not error.may_have_arrived:
                outcome = OrderOutcome.UNREACHED
            return OrderResult(outcome, None, str(error))
        if response.status != OK_STATUS:
            detail = f"status {response.status}"
            return OrderResult(OrderOutcome.UNACKNOWLEDGED, None, detail)
        try:
            result = decode_message(response.body, OrderResult)
        except UnreadableMessageError as error:
            self._metrics.count("worker_unreadable", path)
            return OrderResult(OrderOutcome.UNACKNOWLEDGED, None, str(error))
        if response.was_resent and result.outcome is not OrderOutcome.ACCEPTED:
            # The worker may have executed the first copy.
            detail = f"{result.outcome.value}, resent"
            return OrderResult(OrderOutcome.UNACKNOWLEDGED, None, detail)
        return result

    async def renew_lease(self, order: RenewalOrder) -> RenewalReport:
        """Renew a worker's lease and return its report of active and finished runs."""
        try:
            response = await self._post(
                RENEWAL_PATH, order, RENEWAL_MARGIN_SECONDS + order.wait
            )
        except HttpCallError as error:
            raise WorkerSilentError(str(error)) from error
        if response.status == FENCED_STATUS:
            raise WorkerFencedError(order.worker)
        if response.status != OK_STATUS:
            raise WorkerSilentError(f"status {response.status}")
        try:
            report = decode_message(response.body, RenewalReport)
            return replace(report, has_open_copy=response.was_resent)
        except UnreadableMessageError as error:
            self._metrics.count("worker_unreadable", RENEWAL_PATH)
            raise WorkerSilentError(str(error)) from error

    async def _post(
        self, path: str, order: Order, timeout: float, may_resend: bool = True
    ) -> ClientResponse:
        self._metrics.count("worker_call", path)
        url = f"http://{order.address}{path}"
        headers = {"Content-Type": MEDIA_TYPE}
        body = encode_message(order)
        return await self._client.call(
            "POST", url, timeout, body, headers, may_resend=may_resend
        )
