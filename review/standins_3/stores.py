"""Stand-in of the platform's metadata store."""

import asyncio
import time
from base64 import b64encode
from json import dumps
from typing import Any

from standins_3.http import Request, Response

DELAY_SECONDS = 0.004
PAGE_ROWS = 500

RowId = tuple[str, str, str]


class Store:
    """Rows in tables, transactions under conditions and a feed of changes.

    Attributes:
        revision: Newest version.
        rows: Value and version of each row.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.rows: dict[RowId, tuple[str, int]] = {}
        self._changes: list[tuple[int, RowId]] = []
        self._changed = asyncio.Event()
        self._started_at = time.monotonic()

    def put(self, table: str, key: str, document: Any) -> None:
        """Write a row for the operator or for a worker."""
        value = b64encode(dumps(document).encode()).decode()
        self._apply([((table, "", key), value)])

    def remove(self, table: str, key: str) -> None:
        """Delete a row for the operator or for a worker."""
        if (table, "", key) in self.rows:
            self._apply([((table, "", key), None)])

    def _apply(self, writes: list[tuple[RowId, str | None]]) -> None:
        self.revision += 1
        for row, value in writes:
            if value is None:
                self.rows.pop(row, None)
            else:
                self.rows[row] = (value, self.revision)
            self._changes.append((self.revision, row))
        self._changed.set()
        self._changed = asyncio.Event()

    def _make(self, status: int, **fields: Any) -> Response:
        now_ms = int(1000 * (time.monotonic() - self._started_at))
        return Response(status, {"Ver": self.revision, "NowMs": now_ms} | fields)

    def _show(self, row: RowId) -> dict[str, Any]:
        table, part, key = row
        shown: dict[str, Any] = {"Table": table, "part": part, "Key": key}
        if row in self.rows:
            value, version = self.rows[row]
            return shown | {"Value": value, "Ver": version}
        return shown | {"Deleted": True, "Ver": self.revision}

    async def respond(self, request: Request) -> Response | None:
        """Return the response to a call."""
        await asyncio.sleep(DELAY_SECONDS)
        if request.path == "/-/rows-tx":
            return self._transact(request.json())
        if request.path == "/-/rows-get":
            return self._read(request.query)
        if request.path == "/-/rows-parts":
            return self._list_parts(request.query)
        if request.path == "/-/rows-feed":
            return await self._wait_for_changes(request.query)
        return Response(400, {})

    def _transact(self, body: dict[str, Any]) -> Response:
        def find(entry: dict[str, Any]) -> RowId:
            return entry["Table"], entry.get("part", ""), entry["Key"]

        expected = [(find(entry), entry["Ver"]) for entry in body["ExpectedRev"]]
        upserts = [(find(entry), entry["Value"]) for entry in body["Upserts"]]
        removed = [(find(entry), None) for entry in body["Remove"]]
        parts = {row[1] for row, _ in [*expected, *upserts, *removed]}
        if len(parts) > 1 or len(expected) + len(upserts) + len(removed) > 100:
            return self._make(400)
        if {row[0] for row, _ in [*upserts, *removed]} & {"op", "servers"}:
            return self._make(403)
        if any(len(value) > 65_536 for _, value in upserts):
            return self._make(413)
        if any(self.rows.get(row, ("", 0))[1] != ver for row, ver in expected):
            current = [self._show(row) for row, _ in expected if row in self.rows]
            return self._make(412, rows=current)
        self._apply([*upserts, *removed])
        return self._make(200)

    def _read(self, query: dict[str, str]) -> Response:
        table, part = query["Table"], query.get("part", "")
        first, last = query.get("From", ""), query.get("To", "")
        limit = min(PAGE_ROWS, int(query.get("Limit", PAGE_ROWS)))
        found = sorted(
            row
            for row in self.rows
            if row[:2] == (table, part)
            and row[2] >= first
            and (not last or row[2] < last)
        )
        shown = [self._show(row) for row in found[:limit]]
        return self._make(200, rows=shown, HasMore=len(found) > limit)

    def _list_parts(self, query: dict[str, str]) -> Response:
        after = query.get("After", "")
        parts = {row[1] for row in self.rows if row[0] == query["Table"]}
        return self._make(200, parts=sorted(part for part in parts if part > after))

    async def _wait_for_changes(self, query: dict[str, str]) -> Response:
        table, after = query["Table"], int(query["After"])
        deadline = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while True:
            changed: dict[RowId, int] = {}
            for version, row in reversed(self._changes):
                if version <= after:
                    break
                if row[0] == table:
                    changed.setdefault(row, version)
            left = deadline - time.monotonic()
            if changed or left <= 0:
                break
            event = self._changed
            try:
                await asyncio.wait_for(event.wait(), left)
            except TimeoutError:
                continue
        ordered = sorted(changed, key=changed.__getitem__)
        return self._make(200, rows=[self._show(row) for row in ordered])
