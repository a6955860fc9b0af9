"""HTTP interface of the stand-in worker for the orders of a pool's owner."""

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
    MEDIA_TYPE,
    RENEWAL_PATH,
    START_PATH,
    STOP_PATH,
    THROTTLE_PATH,
    UnreadableMessageError,
    decode_message,
    encode_message,
)

BAD_REQUEST_STATUS = 400


class _TaskHandler(RequestHandler):
    def initialize(self, worker: EmulatedWorker) -> None:
        self.worker = worker

    def _read_message(self, kind: type[Any]) -> Any:
        try:
            return decode_message(self.request.body, kind)
        except UnreadableMessageError as error:
            self.set_status(BAD_REQUEST_STATUS)
            self.finish(str(error))
            return None

    def _respond(self, message: Any) -> None:
        self.set_header("Content-Type", MEDIA_TYPE)
        self.finish(encode_message(message))


class _OrderHandler(_TaskHandler):
    def initialize(  # type: ignore[override]
        self,
        worker: EmulatedWorker,
        kind: type[Any],
        execute: Callable[[Any], OrderResult],
    ) -> None:
        super().initialize(worker)
        self._kind = kind
        self._execute_order = execute

    def post(self) -> None:
        order = self._read_message(self._kind)
        if order is not None:
            self._respond(self._execute_order(order))


class _RenewalHandler(_TaskHandler):
    async def post(self) -> None:
        order = self._read_message(RenewalOrder)
        if order is None:
            return
        report = await self.worker.renew_lease(order)
        if report is None:
            self.set_status(FENCED_STATUS)
            return
        self._respond(report)


def make_task_routes(worker: EmulatedWorker) -> list[Any]:
    """Return the routes for orders to a worker and for renewals of its lease."""
    orders = [
        (START_PATH, StartOrder, worker.start),
        (STOP_PATH, StopOrder, worker.stop),
        (THROTTLE_PATH, ThrottleOrder, worker.throttle),
    ]
    routes: list[Any] = [(RENEWAL_PATH, _RenewalHandler, {"worker": worker})]
    for path, kind, execute in orders:
        arguments = {"worker": worker, "kind": kind, "execute": execute}
        routes.append((path, _OrderHandler, arguments))
    return routes
