"""Client of the platform's workers."""

from dataclasses import replace
from typing import Any

from msgspec import Struct, json

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
from jujubebarrow.identifiers import JobId
from jujubebarrow.links.link_meters import LinkMeter
from jujubebarrow.links.traffic_kinds import TrafficKind
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.platform.decode_errors import DECODE_ERRORS
from jujubebarrow.transports.http_clients import (
    ClientResponse,
    HttpCallError,
    HttpClient,
)
from jujubebarrow.workloads.finished_runs import FinishedRun, RunOutcome
from jujubebarrow.workloads.identifiers import RunNumber, WorkerId
from jujubebarrow.workloads.task_keys import TaskKey
from jujubebarrow.workloads.worker_reports import RenewalReport, RunningTask

CONNECTION_LIMIT = 200
"""Limit on parallel calls; one lease renewal waits at each worker of a pool, the other
calls are orders."""
ORDER_TIMEOUT_SECONDS = 0.25
"""Timeout of an order, a hundred times the network delay. An order can be sent again
after the timeout, since a repeated order has no further effect."""
RENEWAL_MARGIN_SECONDS = 0.4
"""Time for the response to a lease renewal in addition to the requested wait."""

LISTED_ENDS_LIMIT = 500
"""Most finished runs in a worker's response."""
START_PATH = "/-/run-start"
RENEWAL_PATH = "/-/hold"
TRAFFIC_KINDS = {START_PATH: TrafficKind.START, RENEWAL_PATH: TrafficKind.RENEWAL}
REFUSAL_OUTCOMES = {
    "fence": OrderOutcome.FENCED,
    "old": OrderOutcome.OUTDATED,
    "late": OrderOutcome.LEASE_DEADLINE_PASSED,
    "room": OrderOutcome.NO_FREE_CAPACITY,
    "ticket": OrderOutcome.TICKET_INVALID,
}
RUN_OUTCOMES = {
    "done": RunOutcome.DONE,
    "failed": RunOutcome.FAILED,
    "stopped": RunOutcome.STOPPED,
    "lapsed": RunOutcome.LEASE_EXPIRED,
    "broken": RunOutcome.GANG_BROKEN,
    "alone": RunOutcome.GANG_INCOMPLETE,
}


class _WireOrderResponse(Struct, rename="pascal"):
    # The worker's monotonic clock in milliseconds.
    clock_ms: int | None = None
    reason: str = ""


def parse_task_key(text: str) -> TaskKey:
    """Parse the wire name of a task.

    Raises:
        ValueError: The text is not the wire name of a task.
    """
    job, occurrence, step, index = text.split(".")
    return TaskKey(JobId(job), int(occurrence), int(step), int(index))


class PlatformWorkers(WorkerGateway):
    """HTTP client of the workers' interface.

    Args:
        meter: Records the traffic of the calls.
        metrics: Registry of the counters.
    """

    def __init__(self, meter: LinkMeter, metrics: MetricsRegistry):
        self._metrics = metrics
        self._client = HttpClient(CONNECTION_LIMIT, meter)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def start(self, order: StartOrder) -> OrderResult:
        """Send an order to start a run."""
        document: dict[str, Any] = {
            "Task": str(order.task),
            "Run": order.run,
            "Spec": order.payload,
            "DeadlineMs": int(order.deadline * 1000),
            "FencingToken": order.token,
        }
        if order.checkpoint:
            document["Checkpoint"] = order.checkpoint
        if order.ticket:
            document["Ticket"] = order.ticket
        return await self._send_order(order, START_PATH, document)

    async def stop(self, order: StopOrder) -> OrderResult:
        """Send an order to stop a run."""
        document = {
            "Task": str(order.task),
            "Run": order.run,
            "FencingToken": order.token,
        }
        return await self._send_order(order, "/-/run-stop", document)

    async def throttle(self, order: ThrottleOrder) -> OrderResult:
        """Send an order to throttle a run to a percentage of its full speed."""
        document = {
            "Task": str(order.task),
            "Run": order.run,
            "Percent": order.percent,
            "FencingToken": order.token,
        }
        return await self._send_order(order, "/-/pace", document)

    async def _send_order(
        self,
        order: StartOrder | StopOrder | ThrottleOrder,
        path: str,
        document: dict[str, Any],
    ) -> OrderResult:
        try:
            response = await self._post(
                order.worker,
                order.address,
                path,
                document,
                ORDER_TIMEOUT_SECONDS,
                may_resend=path != START_PATH,
            )
        except HttpCallError as error:
            if not error.may_have_arrived:
                return OrderResult(OrderOutcome.UNREACHED, None, str(error))
            return OrderResult(OrderOutcome.UNACKNOWLEDGED, None, str(error))
        return _decode_order_result(response)

    async def renew_lease(self, order: RenewalOrder) -> RenewalReport:
        """Send a lease renewal and return the worker's active and finished runs."""
        document: dict[str, Any] = {
            "FencingToken": order.token,
            "LastSeen": order.acknowledged,
        }
        if order.deadline is not None:
            document["DeadlineMs"] = int(order.deadline * 1000)
        if order.wait:
            document["WaitMs"] = int(order.wait * 1000)
        timeout = RENEWAL_MARGIN_SECONDS + order.wait
        try:
            response = await self._post(
                order.worker, order.address, RENEWAL_PATH, document, timeout
            )
        except HttpCallError as error:
            raise WorkerSilentError(str(error)) from error
        if response.status == 409:
            # A refused token is a fact about the worker, whichever copy was refused.
            result = _decode_order_result(replace(response, was_resent=False))
            if result.outcome is OrderOutcome.FENCED:
                raise WorkerFencedError(order.worker)
        if response.status != 200:
            raise WorkerSilentError(
                f"lease renewal returned status {response.status}, expected 200"
            )
        report = self._decode_renewal_report(response.body)
        return replace(report, has_open_copy=response.was_resent)

    async def _post(
        self,
        worker: WorkerId,
        address: str,
        path: str,
        document: dict[str, Any],
        timeout: float,
        may_resend: bool = True,
    ) -> ClientResponse:
        self._metrics.count("worker_call", path)
        try:
            response = await self._client.call(
                "POST",
                f"http://{address}{path}",
                timeout,
                json.encode(document),
                {"X-Target-Instance": worker},
                TRAFFIC_KINDS.get(path, TrafficKind.ORDER),
                may_resend,
            )
        except HttpCallError as error:
            if error.was_resent:
                self._metrics.count("worker_resent", f"{path} unanswered")
            raise
        if response.was_resent:
            self._metrics.count("worker_resent", f"{path} {response.status}")
        return response

    def _decode_renewal_report(self, body: bytes) -> RenewalReport:
        try:
            document = json.decode(body)
            finished = document.get("Finished") or ()
            return RenewalReport(
                born=int(document.get("born", 0)),
                clock=document["ClockMs"] / 1000,
                running=tuple(
                    _decode_running_task(row) for row in document.get("Running") or ()
                ),
                ended=tuple(_decode_finished_run(row) for row in finished),
                lists_all_ends=len(finished) < LISTED_ENDS_LIMIT,
            )
        except DECODE_ERRORS as error:
            self._metrics.count("worker_unreadable", type(error).__name__)
            raise WorkerSilentError(
                f"cannot decode the lists of active and finished runs: {error!r}"
            ) from error


def _decode_running_task(row: list[Any]) -> RunningTask:
    load = int(row[4]) if len(row) > 4 and row[4] is not None else 0
    return RunningTask(
        parse_task_key(row[0]), RunNumber(int(row[1])), row[2], int(row[3]), load
    )


def _decode_finished_run(row: list[Any]) -> FinishedRun:
    return FinishedRun(
        int(row[0]),
        parse_task_key(row[1]),
        RunNumber(int(row[2])),
        RUN_OUTCOMES[row[3]],
        row[4],
    )


def _decode_order_result(response: ClientResponse) -> OrderResult:
    wire = _WireOrderResponse()
    try:
        if response.body:
            wire = json.decode(response.body, type=_WireOrderResponse)
    except DECODE_ERRORS as error:
        if response.status == 200:
            return OrderResult(OrderOutcome.UNACKNOWLEDGED, None, repr(error))
    clock = wire.clock_ms / 1000 if wire.clock_ms is not None else None
    detail = f"status {response.status} {wire.reason}"
    if response.status == 200:
        return OrderResult(OrderOutcome.ACCEPTED, clock)
    if response.was_resent:
        # The worker may have executed the first copy.
        return OrderResult(OrderOutcome.UNACKNOWLEDGED, None, f"{detail}, resent")
    if response.status == 409:
        outcome = REFUSAL_OUTCOMES.get(wire.reason, OrderOutcome.REFUSED)
        return OrderResult(outcome, clock, detail)
    if response.status == 421:
        return OrderResult(OrderOutcome.WORKER_NOT_FOUND, None, detail)
    if response.status in (400, 429, 503):
        return OrderResult(OrderOutcome.REFUSED, clock, detail)
    return OrderResult(OrderOutcome.UNACKNOWLEDGED, None, detail)
