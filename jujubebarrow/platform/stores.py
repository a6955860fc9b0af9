"""Client of the platform's store."""

from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from typing import Any
from urllib.parse import urlencode

import cbor2
from msgspec import Struct, json

from jujubebarrow.errors.exceptions import (
    HistoryLostError,
    InvalidCallError,
    SlowResponseError,
    StoreError,
)
from jujubebarrow.links.link_meters import LinkMeter
from jujubebarrow.links.traffic_kinds import TrafficKind
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.platform.decode_errors import DECODE_ERRORS
from jujubebarrow.stores.commit_results import CommitResult
from jujubebarrow.stores.instance_lists import InstanceList
from jujubebarrow.stores.paged_readers import PagedReader
from jujubebarrow.stores.read_throttles import ReadThrottle
from jujubebarrow.stores.row_keys import RowKey
from jujubebarrow.stores.row_pages import RowPage
from jujubebarrow.stores.rows import Row, RowSet
from jujubebarrow.stores.stores import INVALID_CALL_STATUSES, Store
from jujubebarrow.stores.transactions import Transaction
from jujubebarrow.transports.http_clients import (
    ClientResponse,
    HttpCallError,
    HttpClient,
)

CONNECTION_LIMIT = 40
"""Limit on parallel calls; four calls wait for changes, the rest serve job bursts."""
TIMEOUT_SECONDS = 0.9
"""Timeout of a call, about two to four times the response time of a slow store (200 to
500 ms)."""
DOCUMENT_TABLES = frozenset({"op", "servers", "status"})
"""Tables with JSON values, since the operator or the workers also use these tables."""
COMMIT_PATH = "/-/rows-tx"
CHANGES_PATH = "/-/rows-feed"
TRAFFIC_KINDS = {
    COMMIT_PATH: TrafficKind.STORE_WRITE,
    CHANGES_PATH: TrafficKind.STORE_CHANGES,
}
MALFORMED_VALUE: dict[str, Any] = {}
"""Replaces an undecodable value; a valid document is never empty."""
VALUE_FIELD = "v"
NONCE_FIELD = "n"


class _WireParts(Struct):
    parts: list[str] = []


class PlatformStore(Store):
    """HTTP client of the platform's store.

    Args:
        address: IP and port of the store.
        throttle: Limits what reads put on this instance's network link.
        meter: Records the traffic of the calls.
        metrics: Registry of the counters.
    """

    # A transaction without a response is repeated only until a caller would have given
    # up, which takes two attempts. Pool owners retry a failed transaction themselves.
    commit_attempts = 2

    def __init__(
        self,
        address: str,
        throttle: ReadThrottle,
        meter: LinkMeter,
        metrics: MetricsRegistry,
    ):
        super().__init__(metrics)
        self._throttle = throttle
        self._reader = PagedReader(
            lambda prefix, start: self.read_page(prefix, start, 0), metrics
        )
        self._url = f"http://{address}"
        self._client = HttpClient(CONNECTION_LIMIT, meter)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def try_commit(self, transaction: Transaction) -> CommitResult:
        """Send a transaction once and return the result."""
        body = json.encode(_encode_transaction(transaction))
        response = await self._call("POST", COMMIT_PATH, TIMEOUT_SECONDS, body)
        try:
            return _decode_commit(response, transaction)
        except DECODE_ERRORS as error:
            raise StoreError(f"unreadable answer: {error!r}", True) from error
        except StoreError as error:
            if response.was_resent:
                # Only the second copy was refused.
                raise StoreError(f"{error}, request resent", True) from error
            raise

    async def read(self, prefix: str, limit: int = 0) -> RowSet:
        """Return the rows whose key starts with a prefix."""
        return await self._reader.read(prefix, limit)

    async def read_page(self, prefix: str, start: str, limit: int) -> RowPage:
        """Return a part of the rows whose key starts with a prefix."""
        key = RowKey.parse(prefix)
        query = {"Table": key.table, "part": key.partition}
        if key.name:
            query["From"] = key.name
            query["To"] = key.name[:-1] + chr(ord(key.name[-1]) + 1)
        if start:
            query["From"] = start

        async def fetch(row_limit: int) -> RowPage:
            if row_limit:
                query["Limit"] = str(row_limit)
            return await self._read_page("/-/rows-get", query, TIMEOUT_SECONDS)

        return await self._throttle.read_page(prefix, start, limit, fetch)

    async def read_changes(self, prefix: str, since: int, wait: float) -> RowSet:
        """Return rows of the prefix's table that changed after a revision.

        Waits up to ``wait`` seconds for a change if there is none.
        """
        query = {
            "Table": prefix.split("/", 1)[0],
            "After": str(since),
            "WaitMs": str(round(wait * 1000)),
        }
        page = await self._read_page(CHANGES_PATH, query, TIMEOUT_SECONDS + wait)
        return RowSet(revision=page.revision, rows=page.rows, clock=page.clock)

    async def list_partitions(self, table: str) -> list[str]:
        """Return the partitions of a table that have rows."""
        parts: list[str] = []
        while True:
            query = {"Table": table}
            if parts:
                query["After"] = parts[-1]
            response = await self._call("GET", f"/-/rows-parts?{urlencode(query)}")
            if response.status != 200:
                raise _make_status_error(response)
            try:
                page = json.decode(response.body, type=_WireParts).parts
            except DECODE_ERRORS as error:
                raise StoreError(f"unreadable answer: {error!r}", False) from error
            parts.extend(page)
            if len(page) < 1000:
                return parts

    async def list_instances(self) -> InstanceList:
        """Raise StoreError, since the platform registers workers as rows."""
        raise StoreError("the platform lists workers as rows", False)

    async def put_object(self, name: str, data: bytes) -> None:
        """Store an object."""
        response = await self._call("PUT", f"/-/blob-put/{name}", TIMEOUT_SECONDS, data)
        if response.status not in (200, 201, 204):
            raise _make_status_error(response)

    async def get_object(self, name: str) -> bytes:
        """Return an object's bytes."""
        response = await self._call("GET", f"/-/blob-get/{name}")
        if response.status != 200:
            raise _make_status_error(response)
        return response.body

    async def _read_page(
        self, path: str, query: dict[str, str], timeout: float
    ) -> RowPage:
        response = await self._call("GET", f"{path}?{urlencode(query)}", timeout)
        if response.status == 410:
            raise HistoryLostError(path)
        if response.status != 200:
            raise _make_status_error(response)
        try:
            document = json.decode(response.body)
            return RowPage(
                rows=_decode_rows(document.get("rows", [])),
                # Revision of the whole store at the time of the response.
                revision=document["Ver"],
                has_more=document.get("HasMore", False),
                clock=document.get("NowMs", 0) / 1000,
                size_bytes=len(response.body),
                transfer_seconds=response.transfer_seconds,
            )
        except DECODE_ERRORS as error:
            raise StoreError(f"unreadable answer: {error}", False) from error

    async def _call(
        self,
        method: str,
        path: str,
        timeout: float = TIMEOUT_SECONDS,
        body: bytes | None = None,
    ) -> ClientResponse:
        endpoint = path.split("?", 1)[0]
        self._metrics.count("store_call", endpoint)
        kind = TRAFFIC_KINDS.get(endpoint, TrafficKind.STORE_READ)
        try:
            response = await self._client.call(
                method, self._url + path, timeout, body, kind=kind
            )
        except HttpCallError as error:
            if error.was_resent:
                self._metrics.count("store_resent", "unanswered")
            if error.is_response_incomplete:
                self._metrics.count("store_failure", "incomplete")
                raise SlowResponseError(str(error), error.received_bytes) from error
            self._metrics.count("store_failure", "unanswered")
            raise StoreError(str(error), error.may_have_arrived) from error
        if response.was_resent:
            self._metrics.count("store_resent", str(response.status))
        if response.status not in (200, 410, 412):
            self._metrics.count("store_failure", str(response.status))
        return response


def _make_status_error(response: ClientResponse) -> StoreError:
    if response.status in INVALID_CALL_STATUSES:
        return InvalidCallError(f"status {response.status}")
    # With one of these statuses the store applied nothing.
    is_rejected = response.status in (429, 503, 507)
    return StoreError(f"status {response.status}", not is_rejected)


def _decode_commit(response: ClientResponse, transaction: Transaction) -> CommitResult:
    if response.status == 200:
        return CommitResult(revision=json.decode(response.body)["Ver"])
    if response.status != 412:
        raise _make_status_error(response)
    document = json.decode(response.body)
    current_rows = {row.key: row for row in _decode_rows(document.get("rows", ()))}
    nonces, revisions = {}, {}
    for key, revision in transaction.conditions.items():
        row = current_rows.get(key)
        current_revision = (
            row.revision if row is not None and row.value is not None else 0
        )
        if current_revision != revision:
            nonces[key] = row.nonce if row is not None else ""
            revisions[key] = current_revision
    if not nonces:
        raise StoreError("conflict without a differing row", False)
    return CommitResult(
        revision=document.get("Ver", 0), nonces=nonces, revisions=revisions
    )


def _encode_transaction(transaction: Transaction) -> dict[str, Any]:
    conditions = []
    for key, revision in transaction.conditions.items():
        conditions.append(_encode_key(key) | {"Ver": revision})
    upserts, removed = [], []
    for key, value in transaction.writes.items():
        if value is None:
            removed.append(_encode_key(key))
        else:
            text = _encode_value(key, value, transaction.nonce)
            upserts.append(_encode_key(key) | {"Value": text})
    return {"ExpectedRev": conditions, "Upserts": upserts, "Remove": removed}


def _encode_key(key: str) -> dict[str, Any]:
    table, partition, name = RowKey.parse(key)
    return {"Table": table, "part": partition, "Key": name}


def _encode_value(key: str, value: dict[str, Any], nonce: str) -> str:
    if RowKey.parse(key).table in DOCUMENT_TABLES:
        return b64encode(json.encode(value)).decode()
    return b64encode(cbor2.dumps({VALUE_FIELD: value, NONCE_FIELD: nonce})).decode()


def _decode_rows(documents: Any) -> list[Row]:
    rows = []
    for document in documents:
        key = str(
            RowKey(
                document.get("Table", ""),
                document.get("part", ""),
                document.get("Key", ""),
            )
        )
        revision = document.get("Ver", 0)
        if document.get("Deleted"):
            rows.append(Row(key=key, revision=revision))
        else:
            value, nonce = _decode_value(key, document.get("Value", ""))
            rows.append(Row(key=key, revision=revision, value=value, nonce=nonce))
    return rows


def _decode_value(key: str, text: Any) -> tuple[dict[str, Any], str]:
    try:
        data = b64decode(text)
        if RowKey.parse(key).table in DOCUMENT_TABLES:
            document = json.decode(data)
            return (document if isinstance(document, dict) else MALFORMED_VALUE), ""
        envelope = cbor2.loads(data)
        value, nonce = envelope[VALUE_FIELD], envelope[NONCE_FIELD]
        if not isinstance(value, dict) or not isinstance(nonce, str):
            return MALFORMED_VALUE, ""
        return value, nonce
    except (*DECODE_ERRORS, Base64Error, cbor2.CBORDecodeError):
        return MALFORMED_VALUE, ""
