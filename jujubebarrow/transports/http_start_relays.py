"""HTTP client and handler for start orders that instances relay for each other."""

from hashlib import blake2b

from tornado.httputil import HTTPServerRequest

from jujubebarrow.coordinators.order_results import OrderOutcome, OrderResult
from jujubebarrow.coordinators.orders import StartOrder
from jujubebarrow.gateways.start_batches import (
    UnreadableBatchError,
    decode_orders,
    decode_results,
    encode_orders,
    encode_results,
)
from jujubebarrow.gateways.start_executors import StartExecutor
from jujubebarrow.gateways.start_relays import StartRelay, StartsNotRelayedError
from jujubebarrow.links.link_meters import LinkMeter
from jujubebarrow.links.traffic_kinds import TrafficKind
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.stores.relay_selectors import RelaySelector
from jujubebarrow.transports.http_clients import HttpCallError, HttpClient
from jujubebarrow.transports.http_servers import HttpRequestHandler, ServerResponse

STARTS_PATH = "/starts"
MEDIA_TYPE = "application/cbor"
CONNECTION_LIMIT = 64
"""Limit on parallel calls, each with the orders of one job."""
TIMEOUT_SECONDS = 0.8
"""Timeout of a call: the wait on the other instance's link, the time that it takes for
the orders, and two orders that the same worker does not answer."""
RELAY_COUNT = 4
"""Instances that relay orders at the same time; few, so that workers get few
connections."""
OCCUPIED_STATUS = 503
UNSENT_STATUSES = frozenset({400, 404, OCCUPIED_STATUS})
"""Statuses with which the other instance has sent none of the orders. An unexpected
error may follow orders that were sent."""


class HttpStartRelay(StartRelay):
    """Sends start orders to other instances over HTTP.

    Args:
        instance: Id of this instance, which spreads the relays of different instances.
        selector: Remembers which instances have failed.
        meter: Records the traffic of the calls.
        metrics: Registry of the counters.
    """

    def __init__(
        self,
        instance: str,
        selector: RelaySelector,
        meter: LinkMeter,
        metrics: MetricsRegistry,
    ):
        self._instance = instance
        self._selector = selector
        self._metrics = metrics
        self._client = HttpClient(CONNECTION_LIMIT, meter)
        self._addresses: list[str] = []

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def set_peer_addresses(self, addresses: list[str]) -> None:
        """Set the addresses of the other live instances."""
        self._addresses = sorted(
            addresses, key=lambda address: _hash(self._instance, address)
        )

    @property
    def is_available(self) -> bool:
        """Whether an instance is known that may relay orders."""
        return bool(self._selector.filter_usable(self._addresses))

    async def start(self, orders: list[StartOrder]) -> list[OrderResult]:
        """Relay start orders of one job and return their results in the same order."""
        usable = self._selector.filter_usable(self._addresses)[:RELAY_COUNT]
        if not usable:
            raise StartsNotRelayedError("no instance relays orders")
        # The same instance serves the same worker, on connections that are kept.
        address = max(usable, key=lambda item: _hash(orders[0].worker, item))
        try:
            response = await self._client.call(
                "POST",
                f"http://{address}{STARTS_PATH}",
                TIMEOUT_SECONDS,
                encode_orders(orders),
                {"Content-Type": MEDIA_TYPE},
                TrafficKind.START_RELAY,
                may_resend=False,
            )
            if response.status != 200:
                self._selector.record_failure(address)
                self._metrics.count("start_relay_rejected", str(response.status))
                detail = f"relay: status {response.status}"
                if response.status not in UNSENT_STATUSES:
                    return _make_unknown_results(orders, detail)
                raise StartsNotRelayedError(detail)
            results = decode_results(response.body)
            if len(results) != len(orders):
                raise UnreadableBatchError(f"{len(results)} results")
        except HttpCallError as error:
            self._selector.record_failure(address)
            self._metrics.count("start_relay_failed")
            if not error.may_have_arrived:
                raise StartsNotRelayedError(f"relay: {error}") from error
            return _make_unknown_results(orders, f"relay: {error}")
        except UnreadableBatchError as error:
            self._selector.record_failure(address)
            self._metrics.count("start_relay_failed")
            return _make_unknown_results(orders, f"relay: {error}")
        self._selector.record_success(address)
        return results


def _hash(*parts: str) -> bytes:
    return blake2b("/".join(parts).encode(), digest_size=8).digest()


def _make_unknown_results(orders: list[StartOrder], detail: str) -> list[OrderResult]:
    return [OrderResult(OrderOutcome.UNACKNOWLEDGED, None, detail) for _ in orders]


class StartRelayHandler(HttpRequestHandler):
    """Sends the start orders that other instances relay to this instance.

    Args:
        executor: Sends the orders while the link has room.
        metrics: Registry of the counters.
    """

    def __init__(self, executor: StartExecutor, metrics: MetricsRegistry):
        self._executor = executor
        self._metrics = metrics

    @property
    def closes_connections(self) -> bool:
        """Whether responses tell clients to close the connection."""
        return False

    async def handle(self, request: HTTPServerRequest) -> ServerResponse:
        """Return the response with the results of relayed orders."""
        try:
            orders = decode_orders(request.body)
        except UnreadableBatchError as error:
            self._metrics.count("relay_unreadable", type(error).__name__)
            return ServerResponse(
                400, str(error).encode(), {"Content-Type": "text/plain"}
            )
        try:
            results = await self._executor.start(orders)
        except StartsNotRelayedError as error:
            return ServerResponse(
                OCCUPIED_STATUS, str(error).encode(), {"Content-Type": "text/plain"}
            )
        self._metrics.count("starts_for_others", amount=len(orders))
        return ServerResponse(
            200, encode_results(results), {"Content-Type": MEDIA_TYPE}
        )
