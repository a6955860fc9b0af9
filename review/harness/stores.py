"""Stand-in for the platform's metadata store."""

import asyncio
import base64
import json
import time
from collections import defaultdict
from typing import Any

from harness.http import Request, ResetError, Response, Server

ENTRY_LIMIT = 100
"""Most entries of a transaction, by the platform's page."""
CALL_LIMIT_BYTES = 1_000_000
"""Largest transaction, by the platform's page."""
ROW_LIMIT_BYTES = 65_536
"""Largest value of a row: ``platform.RowBytes`` of the settings."""
PAGE_LIMIT_ROWS = 500
"""Most rows of one page, by the platform's page."""
TRANSACTION_SECONDS = 0.008
"""Duration of a transaction: ``platform.TxMs`` of the settings."""

RowId = tuple[str, str, str]


class StoreStandIn:
    """Rows, transactions and change feeds of the platform's store.

    Attributes:
        is_down: Whether the store resets the connection of each call.
        refused: Number of transactions that exceeded a limit of the page.
    """

    def __init__(self) -> None:
        self.server = Server(self._handle)
        self.is_down = False
        self.refused = 0
        self._rows: dict[RowId, tuple[str, int]] = {}
        self._log: list[tuple[int, RowId, str | None]] = []
        self._version = 0
        self._changed = asyncio.Event()
        self._locks: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)

    def put(self, table: str, key: str, document: Any) -> None:
        """Write a row of the operator or of a worker."""
        text = base64.b64encode(json.dumps(document).encode()).decode()
        self._apply([((table, "", key), text)])

    def remove(self, table: str, key: str) -> None:
        """Remove a row of the operator or of a worker."""
        if (table, "", key) in self._rows:
            self._apply([((table, "", key), None)])

    def _apply(self, changes: list[tuple[RowId, str | None]]) -> None:
        self._version += 1
        for row, text in changes:
            if text is None:
                self._rows.pop(row, None)
            else:
                self._rows[row] = (text, self._version)
            self._log.append((self._version, row, text))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: Request) -> Response:
        if self.is_down:
            raise ResetError
        name = request.path.removeprefix("/-/rows-")
        if name == "tx":
            response = await self._commit(request.to_document())
        elif name == "get":
            response = self._read(request.query)
        elif name == "parts":
            response = self._list_parts(request.query)
        elif name == "feed":
            response = await self._read_feed(request.query)
        else:
            response = Response(404)
        if self.is_down:
            raise ResetError
        return response

    def _stamp(self, document: dict[str, Any]) -> Response:
        document.setdefault("Ver", self._version)
        document["NowMs"] = int(time.monotonic() * 1000)
        return Response(200, document)

    def _exceeds_limit(self, document: dict[str, Any]) -> bool:
        upserts = document.get("Upserts") or []
        count = sum(
            len(document.get(name) or ()) for name in ("ExpectedRev", "Upserts")
        ) + len(document.get("Remove") or ())
        values = [len(base64.b64decode(item["Value"])) for item in upserts]
        return (
            count > ENTRY_LIMIT
            or len(json.dumps(document)) > CALL_LIMIT_BYTES
            or max(values, default=0) > ROW_LIMIT_BYTES
        )

    async def _commit(self, document: dict[str, Any]) -> Response:
        if self._exceeds_limit(document):
            self.refused += 1
            return Response(413, {"Error": "a limit of the store is exceeded"})
        conditions = document.get("ExpectedRev") or []
        upserts = document.get("Upserts") or []
        removed = document.get("Remove") or []
        parts = {_identify(item)[1] for item in [*conditions, *upserts, *removed]}
        if len(parts) > 1:
            return Response(400, {"Error": "more than one part"})
        if any(item["Table"] in ("op", "servers") for item in [*upserts, *removed]):
            return Response(403)
        async with self._locks["".join(parts)]:
            await asyncio.sleep(TRANSACTION_SECONDS)
            if any(self._version_of(item) != item["Ver"] for item in conditions):
                rows = [_identify(item) for item in conditions]
                found = [self._show(row) for row in rows if row in self._rows]
                return Response(412, {"rows": found, "Ver": self._version})
            changes: list[tuple[RowId, str | None]] = [
                (_identify(item), item["Value"]) for item in upserts
            ]
            changes += [(_identify(item), None) for item in removed]
            self._apply(changes)
            return self._stamp({"Ver": self._version})

    def _version_of(self, item: dict[str, Any]) -> int:
        return self._rows.get(_identify(item), ("", 0))[1]

    def _show(self, row: RowId) -> dict[str, Any]:
        value, version = self._rows[row]
        return _name(row) | {"Value": value, "Ver": version}

    def _read(self, query: dict[str, str]) -> Response:
        table, part = query["Table"], query.get("part", "")
        start, end = query.get("From", ""), query.get("To")
        found = sorted(
            row
            for row in self._rows
            if row[:2] == (table, part)
            and row[2] >= start
            and (end is None or row[2] < end)
        )
        limit = min(int(query.get("Limit", "0")) or PAGE_LIMIT_ROWS, PAGE_LIMIT_ROWS)
        shown: list[dict[str, Any]] = []
        size = 0
        for row in found[:limit]:
            document = self._show(row)
            size += len(document["Value"]) + 100
            if shown and size > CALL_LIMIT_BYTES:
                break
            shown.append(document)
        return self._stamp({"rows": shown, "HasMore": len(shown) < len(found)})

    def _list_parts(self, query: dict[str, str]) -> Response:
        parts = {row[1] for row in self._rows if row[0] == query["Table"]}
        later = sorted(part for part in parts if part > query.get("After", ""))
        if "After" not in query and "" in parts:
            later = ["", *later]
        return self._stamp({"parts": later[:1000]})

    async def _read_feed(self, query: dict[str, str]) -> Response:
        table, after = query["Table"], int(query["After"])
        deadline = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
        while True:
            rows = self._find_changes(table, after)
            remaining = deadline - time.monotonic()
            if rows or remaining <= 0:
                return self._stamp({"rows": rows})
            try:
                await asyncio.wait_for(self._changed.wait(), remaining)
            except TimeoutError:
                continue

    def _find_changes(self, table: str, after: int) -> list[dict[str, Any]]:
        rows = []
        for version, row, text in reversed(self._log):
            if version <= after:
                break
            if row[0] == table:
                value = {"Deleted": True} if text is None else {"Value": text}
                rows.append(_name(row) | value | {"Ver": version})
        return rows[::-1]


def _identify(item: dict[str, Any]) -> RowId:
    return item["Table"], item.get("part", ""), item["Key"]


def _name(row: RowId) -> dict[str, Any]:
    return {"Table": row[0], "part": row[1], "Key": row[2]}
