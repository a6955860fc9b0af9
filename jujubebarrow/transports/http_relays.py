"""Relayed calls to the store over HTTP between instances."""

from typing import Any

from tornado.httputil import HTTPServerRequest

from jujubebarrow.errors.exceptions import StoreError
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.stores.relay_messages import (
    MEDIA_TYPE,
    PATH,
    carry_out,
    decode_answer,
)
from jujubebarrow.stores.relayed_stores import RelayClient
from jujubebarrow.stores.stores import Store
from jujubebarrow.transports.http_clients import HttpCallError, HttpClient
from jujubebarrow.transports.http_servers import HttpReply, RequestAnswerer

CONNECTIONS = 16
"""Calls at a time; the feeds take a few, commits the rest."""
TIMEOUT = 1.2
"""Seconds for a call, a little more than the other instance gives the store."""


class HttpRelayClient(RelayClient):
    """Asks other instances over HTTP."""

    def __init__(self) -> None:
        self._client = HttpClient(CONNECTIONS)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def call(self, address: str, body: bytes, wait: float) -> Any:
        """Return the answer of the store."""
        try:
            answer = await self._client.call(
                "POST",
                f"http://{address}{PATH}",
                TIMEOUT + wait,
                body,
                {"Content-Type": MEDIA_TYPE},
            )
        except HttpCallError as error:
            raise StoreError(f"relay: {error}", error.may_have_arrived) from error
        if answer.status != 200:
            raise StoreError(f"relay: status {answer.status}", False)
        return decode_answer(answer.body)


class RelayAnswerer(RequestAnswerer):
    """Makes calls to the store for other instances.

    Args:
        store: This instance's own way to the store, never a relayed one.
        metrics: Counters.
    """

    def __init__(self, store: Store, metrics: MetricsRegistry):
        self._store = store
        self._metrics = metrics

    @property
    def closes_connections(self) -> bool:
        """Whether clients are told to use another connection."""
        return False

    async def answer(self, request: HTTPServerRequest) -> HttpReply:
        """Return the store's answer."""
        if request.path != PATH:
            return HttpReply(404)
        self._metrics.count("store_relayed_for_others")
        try:
            body = await carry_out(request.body, self._store)
        except ValueError as error:
            self._metrics.count("relay_unreadable", type(error).__name__)
            return HttpReply(400, str(error).encode(), {"Content-Type": "text/plain"})
        return HttpReply(200, body, {"Content-Type": MEDIA_TYPE})
