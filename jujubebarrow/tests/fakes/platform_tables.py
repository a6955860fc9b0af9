"""Rows behind the interface of the platform's store."""

import asyncio
import time
from base64 import b64encode
from typing import Any
from urllib.parse import parse_qs, urlsplit

from msgspec import json

from jujubebarrow.platform.stores import CHANGES_PATH, COMMIT_PATH

Response = tuple[int, bytes]
WireKey = tuple[str, str, str]
WAIT_PERIOD_SECONDS = 0.02
READ_PATH = "/-/rows-get"
PARTITIONS_PATH = "/-/rows-parts"
READ_PATHS = (CHANGES_PATH, READ_PATH, PARTITIONS_PATH)
FOREIGN_BODY_BYTES = 80
"""Part of the body of a call that the store does not have, for its record."""
ROWS_LIMIT = 500
"""Most rows of a page."""


def encode_document(document: dict[str, Any]) -> str:
    """Return the value of a row with a JSON document."""
    return b64encode(json.encode(document)).decode()


class PlatformTable:
    """Store whose calls are applied one after the other, without faults.

    Attributes:
        rows: Present rows in their wire form.
        written_at: Time of the first write of each row that was ever written, in
            seconds of the monotonic clock.
        foreign_calls: Calls that the store does not have, which are answered 404.
    """

    def __init__(self) -> None:
        self.rows: dict[WireKey, dict[str, Any]] = {}
        self.written_at: dict[WireKey, float] = {}
        self.foreign_calls: list[str] = []
        self._changes: list[dict[str, Any]] = []
        self._revision = 0

    def write(self, table: str, name: str, document: dict[str, Any]) -> None:
        """Write a document as the operator or a worker does."""
        value = encode_document(document)
        row = {"Table": table, "part": "", "Key": name, "Value": value}
        self.transact({"ExpectedRev": [], "Upserts": [row], "Remove": []})

    def transact(self, call: dict[str, Any]) -> Response:
        """Apply a transaction, unless one of its conditions fails."""
        found = [self.rows.get(_get_key(row)) for row in call["ExpectedRev"]]
        wanted = [row["Ver"] for row in call["ExpectedRev"]]
        if [row["Ver"] if row else 0 for row in found] != wanted:
            rows = [row for row in found if row]
            return 412, json.encode({"rows": rows, "Ver": self._revision})
        self._revision += 1
        for row in call["Upserts"]:
            written = row | {"Ver": self._revision}
            self.rows[_get_key(row)] = written
            self.written_at.setdefault(_get_key(row), time.monotonic())
            self._changes.append(written)
        for row in call["Remove"]:
            self.rows.pop(_get_key(row), None)
            self._changes.append(row | {"Ver": self._revision, "Deleted": True})
        return 200, json.encode({"Ver": self._revision})

    async def respond(self, target: str, body: bytes) -> Response:
        """Return the response to a call.

        Args:
            target: Path with the query.
            body: Request body.
        """
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == COMMIT_PATH:
            return self.transact(json.decode(body))
        if parts.path not in READ_PATHS or "Table" not in query:
            self.foreign_calls.append(f"{target} {body[:FOREIGN_BODY_BYTES]!r}")
            return 404, b"{}"
        if parts.path == CHANGES_PATH:
            return await self._read_changes(query)
        if parts.path == PARTITIONS_PATH:
            names = {key[1] for key in self.rows if key[0] == query["Table"]}
            after = query.get("After", "")
            return 200, json.encode({"parts": sorted(n for n in names if n > after)})
        rows = self._select(query)
        limit = int(query.get("Limit", "0")) or ROWS_LIMIT
        return self._make_page(rows[:limit], has_more=len(rows) > limit)

    def _select(self, query: dict[str, str]) -> list[dict[str, Any]]:
        scope = query["Table"], query.get("part", "")
        return [
            row
            for key, row in sorted(self.rows.items())
            if key[:2] == scope
            and key[2] >= query.get("From", "")
            and ("To" not in query or key[2] < query["To"])
        ]

    async def _read_changes(self, query: dict[str, str]) -> Response:
        after = int(query["After"])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(query["WaitMs"]) / 1000
        while True:
            found = {
                _get_key(row): row
                for row in self._changes
                if row["Table"] == query["Table"] and row["Ver"] > after
            }
            if found or loop.time() >= deadline:
                return self._make_page(
                    sorted(found.values(), key=lambda row: row["Ver"])
                )
            await asyncio.sleep(WAIT_PERIOD_SECONDS)

    def _make_page(
        self, rows: list[dict[str, Any]], has_more: bool = False
    ) -> Response:
        now_ms = round(asyncio.get_running_loop().time() * 1000)
        document = {"rows": rows, "Ver": self._revision, "NowMs": now_ms}
        return 200, json.encode(document | {"HasMore": has_more})


def _get_key(row: dict[str, Any]) -> WireKey:
    return row["Table"], row["part"], row["Key"]
