"""HTTP client of the platform's table, object store and instance list."""

from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import quote

from msgspec import json
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from jujubebarrow.errors.exceptions import InvalidCallError, StoreError
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.stores.commit_results import CommitResult
from jujubebarrow.stores.instance_lists import InstanceList
from jujubebarrow.stores.rows import RowSet
from jujubebarrow.stores.stores import INVALID_CALL_STATUSES, Store
from jujubebarrow.stores.transactions import Transaction

ROW_SET_LIMIT_BYTES = 256 * 1024 * 1024
CONNECTION_LIMIT = 32


class HttpStore(Store):
    """Client of the platform's HTTP interface.

    Args:
        url: Base URL of the platform.
        zone: Availability zone of this instance, sent with each call.
        timeout: Timeout of a call in seconds.
        metrics: Registry of the counters.
    """

    def __init__(self, url: str, zone: str, timeout: float, metrics: MetricsRegistry):
        super().__init__(metrics)
        self._url = url.rstrip("/")
        self._headers = {"Availability-Zone": zone}
        self._timeout = timeout
        self._client: AsyncHTTPClient = SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=CONNECTION_LIMIT,
            max_body_size=ROW_SET_LIMIT_BYTES,
        )

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def try_commit(self, transaction: Transaction) -> CommitResult:
        """Send a transaction once and return the result."""
        body = json.encode(transaction)
        response = await self._fetch("POST", "/transactions", body, self._timeout)
        return json.decode(response.body, type=CommitResult)

    async def read(self, prefix: str, limit: int = 0) -> RowSet:
        """Return the rows whose key starts with a prefix."""
        path = f"/rows?prefix={quote(prefix, safe='')}&limit={limit}"
        response = await self._fetch("GET", path, None, self._timeout)
        return json.decode(response.body, type=RowSet)

    async def read_changes(self, prefix: str, since: int, wait: float) -> RowSet:
        """Return rows changed after a revision; wait up to ``wait`` seconds for one."""
        path = f"/changes?prefix={quote(prefix, safe='')}&since={since}&wait={wait}"
        response = await self._fetch("GET", path, None, self._timeout + wait)
        return json.decode(response.body, type=RowSet)

    async def list_instances(self) -> InstanceList:
        """Return the list of live and leaving instances, which may lag behind."""
        response = await self._fetch("GET", "/instances", None, self._timeout)
        return InstanceList.model_validate_json(response.body)

    async def put_object(self, name: str, data: bytes) -> None:
        """Store an object."""
        await self._fetch("PUT", f"/objects/{quote(name)}", data, self._timeout)

    async def get_object(self, name: str) -> bytes:
        """Return an object's bytes."""
        path = f"/objects/{quote(name)}"
        response = await self._fetch("GET", path, None, self._timeout)
        return response.body

    async def _fetch(
        self, method: str, path: str, body: bytes | None, timeout: float
    ) -> HTTPResponse:
        call: Callable[..., Awaitable[Any]] = self._client.fetch
        try:
            response = await call(
                self._url + path,
                method=method,
                body=body,
                headers=self._headers,
                connect_timeout=timeout,
                request_timeout=timeout,
                raise_error=False,
            )
        except (OSError, HTTPClientError) as error:
            self._metrics.count("store_failure", type(error).__name__)
            raise StoreError(str(error)) from error
        if response.code not in (200, 409):
            self._metrics.count("store_failure", str(response.code))
            if response.code in INVALID_CALL_STATUSES:
                raise InvalidCallError(f"status {response.code}")
            raise StoreError(f"status {response.code}")
        return response
