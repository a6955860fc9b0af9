"""HTTP client and handler for store calls that instances relay for each other."""

from typing import Any

from tornado.httputil import HTTPServerRequest

from jujubebarrow.errors.exceptions import (
    HistoryLostError,
    SlowResponseError,
    StoreError,
)
from jujubebarrow.links.link_meters import LinkMeter
from jujubebarrow.links.traffic_kinds import TrafficKind
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.stores.relay_messages import (
    MEDIA_TYPE,
    RELAY_PATH,
    decode_response,
    execute_call,
)
from jujubebarrow.stores.relayed_stores import RelayClient
from jujubebarrow.stores.stores import Store
from jujubebarrow.transports.http_clients import HttpCallError, HttpClient
from jujubebarrow.transports.http_servers import HttpRequestHandler, ServerResponse

CONNECTION_LIMIT = 40
"""Limit on parallel calls; as many as of direct calls, since relays carry all of them
while the direct path is down."""
TIMEOUT_SECONDS = 1.2
"""Timeout of a call, slightly longer than the store timeout of the other instance."""


class HttpRelayClient(RelayClient):
    """Sends store calls to other instances over HTTP.

    Args:
        meter: Records the traffic of the calls.
    """

    def __init__(self, meter: LinkMeter) -> None:
        self._client = HttpClient(CONNECTION_LIMIT, meter)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def call(self, address: str, body: bytes, wait: float) -> Any:
        """Relay a call and return the store's result."""
        try:
            response = await self._client.call(
                "POST",
                f"http://{address}{RELAY_PATH}",
                TIMEOUT_SECONDS + wait,
                body,
                {"Content-Type": MEDIA_TYPE},
                TrafficKind.RELAY,
            )
        except HttpCallError as error:
            if error.is_response_incomplete:
                raise SlowResponseError(
                    f"relay: {error}", error.received_bytes
                ) from error
            raise StoreError(f"relay: {error}", error.may_have_arrived) from error
        if response.status != 200:
            # An unexpected error may follow a transaction that took effect.
            may_have_applied = response.status >= 500 or response.was_resent
            raise StoreError(f"relay: status {response.status}", may_have_applied)
        try:
            return decode_response(response.body)
        except HistoryLostError:
            raise
        except StoreError as error:
            if response.was_resent:
                # The result of the first copy is unknown.
                raise StoreError(f"{error}, request resent", True) from error
            raise


class RelayHandler(HttpRequestHandler):
    """Executes store calls that other instances relay to this instance.

    Args:
        store: Client for direct calls to the store; must not relay calls itself.
        metrics: Registry of the counters.
    """

    def __init__(self, store: Store, metrics: MetricsRegistry):
        self._store = store
        self._metrics = metrics

    @property
    def closes_connections(self) -> bool:
        """Whether responses tell clients to close the connection."""
        return False

    async def handle(self, request: HTTPServerRequest) -> ServerResponse:
        """Return the response to a relayed call."""
        if request.path != RELAY_PATH:
            return ServerResponse(404)
        self._metrics.count("store_relayed_for_others")
        try:
            body = await execute_call(request.body, self._store)
        except ValueError as error:
            self._metrics.count("relay_unreadable", type(error).__name__)
            return ServerResponse(
                400, str(error).encode(), {"Content-Type": "text/plain"}
            )
        return ServerResponse(200, body, {"Content-Type": MEDIA_TYPE})
