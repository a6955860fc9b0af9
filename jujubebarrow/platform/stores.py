"""The platform's store."""

from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from typing import Any
from urllib.parse import urlencode

import cbor2
from msgspec import DecodeError, Struct, json

from jujubebarrow.errors.exceptions import HistoryLostError, StoreError
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.stores.commit_answers import CommitAnswer
from jujubebarrow.stores.listings import Listing
from jujubebarrow.stores.row_keys import RowKey
from jujubebarrow.stores.rows import Row, RowSet
from jujubebarrow.stores.stores import Store
from jujubebarrow.stores.transactions import Transaction
from jujubebarrow.transports.http_clients import HttpAnswer, HttpCallError, HttpClient

CONNECTIONS = 40
"""Calls at a time; the feeds take four, bursts of jobs the rest."""
TIMEOUT = 0.9
"""Seconds for a call; some times the answer of a slow store (200 to 500 ms)."""
DOCUMENT_TABLES = frozenset({"op", "servers", "status"})
"""Tables whose values are JSON, as others read or write them."""
MALFORMED: dict[str, Any] = {}
"""Stands for a value that cannot be read; no document is empty."""
VALUE = "v"
NONCE = "n"


class _WireRows(Struct, rename="pascal"):
    rows: list[dict[str, Any]] = []
    has_more: bool = False
    # Newest version of the whole store when the answer was made.
    ver: int = 0
    # The store's steady clock in milliseconds.
    now_ms: int = 0


class _WireParts(Struct):
    parts: list[str] = []


class PlatformStore(Store):
    """Client of the platform's store.

    Args:
        address: IP and port.
        metrics: Counters and latencies.
    """

    # A transaction that is not answered is repeated until a caller would have
    # given up; owners go on by themselves.
    commit_attempts = 2

    def __init__(self, address: str, metrics: MetricsRegistry):
        super().__init__(metrics)
        self._url = f"http://{address}"
        self._client = HttpClient(CONNECTIONS)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def try_commit(self, transaction: Transaction) -> CommitAnswer:
        """Send a transaction once and return the answer."""
        body = json.encode(_encode_transaction(transaction))
        answer = await self._call("POST", "/-/rows-tx", TIMEOUT, body)
        if answer.status == 200:
            return CommitAnswer(revision=json.decode(answer.body)["Ver"])
        if answer.status != 412:
            raise _refused(answer)
        document = json.decode(answer.body)
        present = {row.key: row for row in _decode_rows(document.get("rows", ()))}
        nonces = {}
        for key, revision in transaction.conditions.items():
            row = present.get(key)
            found = row.revision if row is not None and row.value is not None else 0
            if found != revision:
                nonces[key] = row.nonce if row is not None else ""
        if not nonces:
            raise StoreError("conflict without a differing row", False)
        return CommitAnswer(revision=document.get("Ver", 0), nonces=nonces)

    async def read(self, prefix: str, limit: int = 0) -> RowSet:
        """Return the rows whose key starts with a prefix."""
        key = RowKey.parse(prefix)
        query = {"Table": key.table, "part": key.partition}
        if key.name:
            query["From"] = key.name
            query["To"] = key.name[:-1] + chr(ord(key.name[-1]) + 1)
        rows: list[Row] = []
        revision: int | None = None
        while True:
            page = await self._read_page("/-/rows-get", query, TIMEOUT)
            # Changes are followed from the first page's version on.
            revision = page.ver if revision is None else revision
            found = _decode_rows(page.rows)
            rows.extend(found[1:] if rows and found else found)
            if not page.has_more or not found:
                return RowSet(revision=revision, rows=rows, clock=page.now_ms / 1000)
            query["From"] = RowKey.parse(found[-1].key).name

    async def read_changes(self, prefix: str, since: int, wait: float) -> RowSet:
        """Return rows changed after a revision, waiting some seconds for one."""
        query = {
            "Table": prefix.split("/", 1)[0],
            "After": str(since),
            "WaitMs": str(round(wait * 1000)),
        }
        page = await self._read_page("/-/rows-feed", query, TIMEOUT + wait)
        return RowSet(
            revision=page.ver,
            rows=_decode_rows(page.rows),
            clock=page.now_ms / 1000,
        )

    async def list_partitions(self, table: str) -> list[str]:
        """Return the partitions of a table that have rows."""
        parts: list[str] = []
        while True:
            query = {"Table": table}
            if parts:
                query["After"] = parts[-1]
            answer = await self._call("GET", f"/-/rows-parts?{urlencode(query)}")
            if answer.status != 200:
                raise _refused(answer)
            found = json.decode(answer.body, type=_WireParts).parts
            parts.extend(found)
            if len(found) < 1000:
                return parts

    async def list_instances(self) -> Listing:
        """Return the lagging list of live and leaving instances."""
        raise StoreError("the platform lists workers as rows", False)

    async def put_object(self, name: str, data: bytes) -> None:
        """Store an object."""
        answer = await self._call("PUT", f"/-/blob-put/{name}", TIMEOUT, data)
        if answer.status not in (200, 201, 204):
            raise _refused(answer)

    async def get_object(self, name: str) -> bytes:
        """Return an object's bytes."""
        answer = await self._call("GET", f"/-/blob-get/{name}")
        if answer.status != 200:
            raise _refused(answer)
        return answer.body

    async def _read_page(
        self, path: str, query: dict[str, str], timeout: float
    ) -> _WireRows:
        answer = await self._call("GET", f"{path}?{urlencode(query)}", timeout)
        if answer.status == 410:
            raise HistoryLostError(path)
        if answer.status != 200:
            raise _refused(answer)
        try:
            document = json.decode(answer.body)
            return _WireRows(
                document.get("rows", []),
                document.get("HasMore", False),
                document["Ver"],
                document.get("NowMs", 0),
            )
        except (DecodeError, KeyError, AttributeError) as error:
            raise StoreError(f"unreadable answer: {error}", False) from error

    async def _call(
        self,
        method: str,
        path: str,
        timeout: float = TIMEOUT,
        body: bytes | None = None,
    ) -> HttpAnswer:
        self._metrics.count("store_call", path.split("?", 1)[0])
        try:
            answer = await self._client.call(method, self._url + path, timeout, body)
        except HttpCallError as error:
            self._metrics.count("store_failure", "unanswered")
            raise StoreError(str(error), error.may_have_arrived) from error
        if answer.status not in (200, 410, 412):
            self._metrics.count("store_failure", str(answer.status))
        return answer


def _refused(answer: HttpAnswer) -> StoreError:
    # These answers say that nothing was done.
    certain = answer.status in (400, 403, 404, 413, 429, 503, 507)
    return StoreError(f"status {answer.status}", not certain)


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
    return b64encode(cbor2.dumps({VALUE: value, NONCE: nonce})).decode()


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
            return (document if isinstance(document, dict) else MALFORMED), ""
        envelope = cbor2.loads(data)
        return envelope[VALUE], envelope[NONCE]
    except (
        Base64Error,
        DecodeError,
        UnicodeDecodeError,
        cbor2.CBORDecodeError,
        KeyError,
        TypeError,
        ValueError,
    ):
        return MALFORMED, ""
