"""Task interface of the stand-in worker."""

from collections.abc import Callable
from typing import Any

from tornado.web import RequestHandler

from jujubebarrow.coordinators.order_results import OrderResult
from jujubebarrow.coordinators.orders import (
    RenewalOrder,
    StartOrder,
    StopOrder,
    ThrottleOrder,
)
from jujubebarrow.standins.emulated_workers import EmulatedWorker
from jujubebarrow.upstreams.task_messages import (
    FENCED_STATUS,
    HOLD_PATH,
    MEDIA_TYPE,
    PACE_PATH,
    START_PATH,
    STOP_PATH,
    UnreadableMessageError,
    decode_message,
    encode_message,
)

BAD_REQUEST = 400


class _TaskHandler(RequestHandler):
    def initialize(self, worker: EmulatedWorker) -> None:
        self.worker = worker

    def _read(self, kind: type[Any]) -> Any:
        try:
            return decode_message(self.request.body, kind)
        except UnreadableMessageError as error:
            self.set_status(BAD_REQUEST)
            self.finish(str(error))
            return None

    def _answer(self, message: Any) -> None:
        self.set_header("Content-Type", MEDIA_TYPE)
        self.finish(encode_message(message))


class _OrderHandler(_TaskHandler):
    def initialize(  # type: ignore[override]
        self,
        worker: EmulatedWorker,
        kind: type[Any],
        carry_out: Callable[[Any], OrderResult],
    ) -> None:
        super().initialize(worker)
        self._kind = kind
        self._carry_out = carry_out

    def post(self) -> None:
        order = self._read(self._kind)
        if order is not None:
            self._answer(self._carry_out(order))


class _HoldHandler(_TaskHandler):
    async def post(self) -> None:
        order = self._read(RenewalOrder)
        if order is None:
            return
        report = await self.worker.hold(order)
        if report is None:
            self.set_status(FENCED_STATUS)
            return
        self._answer(report)


def make_task_routes(worker: EmulatedWorker) -> list[Any]:
    """Return the routes of a worker's task interface."""
    orders = [
        (START_PATH, StartOrder, worker.start),
        (STOP_PATH, StopOrder, worker.stop),
        (PACE_PATH, ThrottleOrder, worker.pace),
    ]
    routes: list[Any] = [(HOLD_PATH, _HoldHandler, {"worker": worker})]
    for path, kind, carry_out in orders:
        arguments = {"worker": worker, "kind": kind, "carry_out": carry_out}
        routes.append((path, _OrderHandler, arguments))
    return routes
