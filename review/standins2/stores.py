"""Stand-in for the platform's store of rows; it has no faults."""

import asyncio
import json
import time
from base64 import b64encode
from typing import Any
from urllib.parse import parse_qs, urlsplit

from wire import Response

ROWS_LIMIT = 500
ANSWER_SECONDS = 0.004
Row = dict[str, Any]


def _key(row: Row) -> tuple[str, str, str]:
    return row["Table"], row.get("part", ""), row["Key"]


class RowStore:
    """Rows with versions, conditional transactions and a change feed."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str, str], Row] = {}
        self._changes: list[Row] = []
        self._version = 0
        self._changed = asyncio.Event()

    def put(self, table: str, name: str, document: Any) -> None:
        """Write a document as the operator or a worker does."""
        value = b64encode(json.dumps(document).encode()).decode()
        self._apply([{"Table": table, "part": "", "Key": name, "Value": value}], [])

    def drop(self, table: str, name: str) -> None:
        """Delete a row."""
        self._apply([], [{"Table": table, "part": "", "Key": name}])

    def _apply(self, upserts: list[Row], removed: list[Row]) -> None:
        self._version += 1
        for row in upserts:
            self._rows[_key(row)] = row | {"Ver": self._version}
            self._changes.append(self._rows[_key(row)])
        for row in removed:
            if self._rows.pop(_key(row), None) is not None:
                self._changes.append(row | {"Ver": self._version, "Deleted": True})
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(
        self, method: str, target: str, headers: dict[str, str], document: Any
    ) -> Response:
        """Answer a call."""
        await asyncio.sleep(ANSWER_SECONDS)
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/-/rows-tx":
            return self._transact(document)
        if parts.path == "/-/rows-get":
            return self._read(query)
        if parts.path == "/-/rows-parts":
            names = {key[1] for key in self._rows if key[0] == query["Table"]}
            return 200, {"parts": sorted(names)[:1000]}
        if parts.path == "/-/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _transact(self, call: dict[str, Any]) -> Response:
        found = [self._rows.get(_key(row)) for row in call["ExpectedRev"]]
        versions = [row["Ver"] if row else 0 for row in found]
        if versions != [row["Ver"] for row in call["ExpectedRev"]]:
            return 412, self._page([row for row in found if row])
        self._apply(call["Upserts"], call["Remove"])
        return 200, {"Ver": self._version, "NowMs": self._now_ms()}

    def _read(self, query: dict[str, str]) -> Response:
        scope = query["Table"], query.get("part", "")
        first, end = query.get("From", ""), query.get("To")
        rows = [
            row
            for key, row in sorted(self._rows.items())
            if key[:2] == scope and first <= key[2] and (end is None or key[2] < end)
        ]
        limit = min(ROWS_LIMIT, int(query.get("Limit", ROWS_LIMIT)))
        return 200, self._page(rows[:limit]) | {"HasMore": len(rows) > limit}

    async def _feed(self, query: dict[str, str]) -> Response:
        after = int(query["After"])
        deadline = time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            rows = {
                _key(row): row
                for row in self._changes
                if row["Table"] == query["Table"] and row["Ver"] > after
            }
            remaining = deadline - time.monotonic()
            if rows or remaining <= 0:
                return 200, self._page(sorted(rows.values(), key=lambda r: r["Ver"]))
            try:
                await asyncio.wait_for(self._changed.wait(), remaining)
            except TimeoutError:
                continue

    def _page(self, rows: list[Row]) -> dict[str, Any]:
        return {"rows": rows, "Ver": self._version, "NowMs": self._now_ms()}

    def _now_ms(self) -> int:
        return int(time.monotonic() * 1000)
