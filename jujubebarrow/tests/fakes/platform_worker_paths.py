"""Interface of the platform's workers in front of an emulated one."""

import asyncio
from random import Random
from typing import Any

from msgspec import json

from jujubebarrow.coordinators.order_results import OrderOutcome, OrderResult
from jujubebarrow.coordinators.orders import RenewalOrder, StartOrder, StopOrder
from jujubebarrow.identifiers import PoolId
from jujubebarrow.platform.workers import (
    REFUSAL_OUTCOMES,
    RENEWAL_PATH,
    RUN_OUTCOMES,
    START_PATH,
    parse_task_key,
)
from jujubebarrow.standins.emulated_workers import EmulatedWorker
from jujubebarrow.tests.fakes.platform_tables import Response
from jujubebarrow.tests.fakes.resetting_servers import ServerRequest
from jujubebarrow.workloads.identifiers import WorkerId

HOLD_PERIOD_SECONDS = 0.01
LATE_START_SHARE = 0.5
"""Share of the held starts that the next incarnation executes."""
LATE_START_RANGE_SECONDS = (0.05, 2.0)
RESET_SHARE = 0.4
"""Share of the starts that get a reset while resets are on."""
REFUSED_STARTS_LIMIT = 3
"""Most starts that are refused after a connection was reset."""
REASONS = {outcome: reason for reason, outcome in REFUSAL_OUTCOMES.items()}
RUN_REASONS = {outcome: reason for reason, outcome in RUN_OUTCOMES.items()}


class WorkerPath:
    """Interface of one worker.

    Args:
        worker: The worker.
        random: Random generator of the faults.

    Attributes:
        resets_starts: Whether some starts are executed and their connections reset.
        holds_starts: Whether starts wait, neither executed nor answered.
        executes_late: Whether the next incarnation executes some of the starts that
            waited when the worker crashed.
        births: Time of each restart in seconds of the event loop's clock.
        registrations: Time of each registration after a restart, likewise.
    """

    def __init__(self, worker: EmulatedWorker, random: Random):
        self._worker = worker
        self._random = random
        self._refused_starts = 0
        self.resets_starts = False
        self.holds_starts = False
        self.executes_late = False
        self.births: list[float] = []
        self.registrations: list[float] = []

    def crash(self) -> None:
        """End all runs; the worker drops the starts that wait."""
        self.holds_starts = False
        self._worker.crash()

    def restart(self, labels: tuple[str, ...], pool: PoolId) -> None:
        """Start the next incarnation under the same id and address."""
        self._worker.restart(labels=labels, pool=pool)
        self.births.append(asyncio.get_running_loop().time())

    async def respond(self, request: ServerRequest) -> Response | None:
        """Return the response to an order; None resets the connection."""
        if not self._worker.is_up:
            return None
        document = json.decode(request.body)
        if request.target == RENEWAL_PATH:
            return await self._renew(document)
        if request.target != START_PATH:
            return self._make_response(self._worker.stop(_decode_stop(document)))
        if self._refused_starts:
            self._refused_starts -= 1
            return 503, b"{}"
        order = _decode_start(self._worker.worker, document)
        sent_at = asyncio.get_running_loop().time()
        if self.holds_starts and await self._hold(order, sent_at):
            return None
        result = self._worker.start(order, sent_at)
        if self.resets_starts and self._random.random() < RESET_SHARE:
            self._refused_starts = self._random.randint(1, REFUSED_STARTS_LIMIT)
            return None
        return self._make_response(result)

    async def _hold(self, order: StartOrder, sent_at: float) -> bool:
        """Wait and return whether the worker has crashed meanwhile."""
        births_count = len(self.births)
        while self.holds_starts:
            await asyncio.sleep(HOLD_PERIOD_SECONDS)
        if self._worker.is_up and len(self.births) == births_count:
            return False
        if self.executes_late and self._random.random() < LATE_START_SHARE:
            delay_seconds = self._random.uniform(*LATE_START_RANGE_SECONDS)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_seconds, self._start_late, order, sent_at)
        return True

    def _start_late(self, order: StartOrder, sent_at: float) -> None:
        if self._worker.is_up:
            self._worker.start(order, sent_at)

    def _make_response(self, result: OrderResult) -> Response:
        document: dict[str, Any] = {"ClockMs": int(self._worker.clock * 1000)}
        if result.outcome is OrderOutcome.ACCEPTED:
            return 200, json.encode(document)
        reason = REASONS.get(result.outcome, "")
        return 409, json.encode(document | {"Reason": reason})

    async def _renew(self, document: dict[str, Any]) -> Response:
        deadline = document.get("DeadlineMs")
        order = RenewalOrder(
            worker=self._worker.worker,
            address="",
            token=document["FencingToken"],
            acknowledged=document["LastSeen"],
            deadline=deadline / 1000 if deadline is not None else None,
            wait=document.get("WaitMs", 0) / 1000,
        )
        report = await self._worker.renew_lease(order)
        if report is None:
            return self._make_response(OrderResult(OrderOutcome.FENCED))
        running = [
            [str(run.task), run.run, run.checkpoint, run.percent, run.load]
            for run in report.running
        ]
        ended = [
            [run.number, str(run.task), run.run, RUN_REASONS[run.outcome], ""]
            for run in report.ended
        ]
        clock_ms = int(report.clock * 1000)
        lists = {"born": report.born, "Running": running, "Finished": ended}
        return 200, json.encode(lists | {"ClockMs": clock_ms})


def _decode_start(worker: WorkerId, document: dict[str, Any]) -> StartOrder:
    return StartOrder(
        worker=worker,
        address="",
        task=parse_task_key(document["Task"]),
        run=document["Run"],
        payload=document["Spec"],
        deadline=document["DeadlineMs"] / 1000,
        token=document["FencingToken"],
        checkpoint=document.get("Checkpoint", ""),
    )


def _decode_stop(document: dict[str, Any]) -> StopOrder:
    return StopOrder(
        worker=WorkerId(""),
        address="",
        task=parse_task_key(document["Task"]),
        run=document["Run"],
        token=document["FencingToken"],
    )
