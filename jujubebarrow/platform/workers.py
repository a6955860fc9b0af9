"""The platform's workers."""

from typing import Any

from msgspec import DecodeError, Struct, ValidationError, json

from jujubebarrow.coordinators.order_results import OrderOutcome, OrderResult
from jujubebarrow.coordinators.orders import (
    HoldOrder,
    PaceOrder,
    StartOrder,
    StopOrder,
)
from jujubebarrow.gateways.worker_gateways import (
    WorkerFencedError,
    WorkerGateway,
    WorkerSilentError,
)
from jujubebarrow.identifiers import JobId
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.transports.http_clients import HttpAnswer, HttpCallError, HttpClient
from jujubebarrow.workloads.identifiers import RunNumber, WorkerId
from jujubebarrow.workloads.run_ends import RunEnd, RunOutcome
from jujubebarrow.workloads.task_keys import TaskKey
from jujubebarrow.workloads.worker_reports import HoldReport, RunningTask

CONNECTIONS = 200
"""Calls at a time; one waits at each worker of a pool, the rest are orders."""
ORDER_TIMEOUT = 0.25
"""Seconds for an order; a hundred times a link's delay, and a repeat is harmless."""
HOLD_MARGIN = 0.4
"""Seconds for an answer beyond the time that a worker was told to wait."""

REASONS = {
    "fence": OrderOutcome.FENCED,
    "old": OrderOutcome.OUTDATED,
    "late": OrderOutcome.LEASE_OVER,
    "room": OrderOutcome.NO_ROOM,
    "ticket": OrderOutcome.TICKET_INVALID,
}
OUTCOMES = {
    "done": RunOutcome.DONE,
    "failed": RunOutcome.FAILED,
    "stopped": RunOutcome.STOPPED,
    "lapsed": RunOutcome.LEASE_EXPIRED,
    "broken": RunOutcome.GANG_BROKEN,
    "alone": RunOutcome.GANG_INCOMPLETE,
}


class _WireAnswer(Struct, rename="pascal"):
    # Milliseconds of the worker's own steady clock.
    clock_ms: int | None = None
    reason: str = ""


def parse_task(text: str) -> TaskKey:
    """Return the task of a name on the wire.

    Raises:
        ValueError: It is none.
    """
    job, occurrence, step, index = text.split(".")
    return TaskKey(JobId(job), int(occurrence), int(step), int(index))


class PlatformWorkers(WorkerGateway):
    """Client of the workers' interface.

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
        return await self._order(order, "/-/run-start", document)

    async def stop(self, order: StopOrder) -> OrderResult:
        """Stop a run."""
        document = {
            "Task": str(order.task),
            "Run": order.run,
            "FencingToken": order.token,
        }
        return await self._order(order, "/-/run-stop", document)

    async def pace(self, order: PaceOrder) -> OrderResult:
        """Set the share of its speed at which a run works."""
        document = {
            "Task": str(order.task),
            "Run": order.run,
            "Percent": order.percent,
            "FencingToken": order.token,
        }
        return await self._order(order, "/-/pace", document)

    async def _order(
        self,
        order: StartOrder | StopOrder | PaceOrder,
        path: str,
        document: dict[str, Any],
    ) -> OrderResult:
        try:
            answer = await self._post(
                order.worker, order.address, path, document, ORDER_TIMEOUT
            )
        except HttpCallError as error:
            if not error.may_have_arrived:
                return OrderResult(OrderOutcome.UNREACHED, None, str(error))
            return OrderResult(OrderOutcome.UNANSWERED, None, str(error))
        return _read_result(answer)

    async def hold(self, order: HoldOrder) -> HoldReport:
        """Extend the lease and return the lists of runs and ends."""
        document: dict[str, Any] = {
            "FencingToken": order.token,
            "LastSeen": order.acknowledged,
        }
        if order.deadline is not None:
            document["DeadlineMs"] = int(order.deadline * 1000)
        if order.wait:
            document["WaitMs"] = int(order.wait * 1000)
        timeout = HOLD_MARGIN + order.wait
        try:
            answer = await self._post(
                order.worker, order.address, "/-/hold", document, timeout
            )
        except HttpCallError as error:
            raise WorkerSilentError(str(error)) from error
        if answer.status == 409:
            result = _read_result(answer)
            if result.outcome is OrderOutcome.FENCED:
                raise WorkerFencedError(order.worker)
        if answer.status != 200:
            raise WorkerSilentError(f"status {answer.status}")
        return self._read_report(answer.body)

    async def _post(
        self,
        worker: WorkerId,
        address: str,
        path: str,
        document: dict[str, Any],
        timeout: float,
    ) -> HttpAnswer:
        self._metrics.count("worker_call", path)
        return await self._client.call(
            "POST",
            f"http://{address}{path}",
            timeout,
            json.encode(document),
            {"X-Target-Instance": worker},
        )

    def _read_report(self, body: bytes) -> HoldReport:
        try:
            document = json.decode(body)
            return HoldReport(
                born=int(document.get("born", 0)),
                clock=document["ClockMs"] / 1000,
                running=tuple(
                    _read_running(row) for row in document.get("Running") or ()
                ),
                ended=tuple(_read_end(row) for row in document.get("Finished") or ()),
            )
        except (
            DecodeError,
            ValidationError,
            KeyError,
            IndexError,
            TypeError,
            ValueError,
            AttributeError,
        ) as error:
            self._metrics.count("worker_unreadable", type(error).__name__)
            raise WorkerSilentError(f"unreadable lists: {error!r}") from error


def _read_running(row: list[Any]) -> RunningTask:
    load = int(row[4]) if len(row) > 4 and row[4] is not None else 0
    return RunningTask(
        parse_task(row[0]), RunNumber(int(row[1])), row[2], int(row[3]), load
    )


def _read_end(row: list[Any]) -> RunEnd:
    return RunEnd(
        int(row[0]),
        parse_task(row[1]),
        RunNumber(int(row[2])),
        OUTCOMES[row[3]],
        row[4],
    )


def _read_result(answer: HttpAnswer) -> OrderResult:
    wire = _WireAnswer()
    try:
        if answer.body:
            wire = json.decode(answer.body, type=_WireAnswer)
    except (DecodeError, ValidationError) as error:
        if answer.status == 200:
            return OrderResult(OrderOutcome.UNANSWERED, None, repr(error))
    clock = wire.clock_ms / 1000 if wire.clock_ms is not None else None
    detail = f"status {answer.status} {wire.reason}"
    if answer.status == 200:
        return OrderResult(OrderOutcome.ACCEPTED, clock)
    if answer.status == 409:
        outcome = REASONS.get(wire.reason, OrderOutcome.REFUSED)
        return OrderResult(outcome, clock, detail)
    if answer.status == 421:
        return OrderResult(OrderOutcome.NOT_THERE, None, detail)
    if answer.status in (400, 429, 503):
        return OrderResult(OrderOutcome.REFUSED, clock, detail)
    return OrderResult(OrderOutcome.UNANSWERED, None, detail)
