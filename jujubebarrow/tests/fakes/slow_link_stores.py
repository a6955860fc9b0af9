"""HTTP stand-in of the platform's store behind a slow link that all calls share."""

import asyncio
from collections import defaultdict, deque
from contextlib import AsyncExitStack
from typing import Any
from urllib.parse import parse_qs, urlsplit

from msgspec import json

from jujubebarrow.standins.ports import LOOPBACK, find_ports

CHUNK_BYTES = 4096
WINDOW_CHUNKS = 16
"""Chunks that a connection may have on the link at the same time."""
PAGE_LIMIT_BYTES = 1_000_000
PAGE_LIMIT_ROWS = 500


class SlowLinkStore:
    """Serves rows at a limited rate and records the row reads.

    Args:
        bytes_per_second: Rate of the link, which all responses share.

    Attributes:
        address: IP and port of the store.
        calls: Path and query of each row read.
        failing_reads: Numbers of the row reads, counted from 0, that are rejected with
            status 503.
        is_stalled: Whether calls get no response.
        delay_seconds: Time that the store takes for a call.
    """

    def __init__(self, bytes_per_second: float):
        self._rate = bytes_per_second
        self._parts: dict[tuple[str, str], list[dict[str, Any]]] = defaultdict(list)
        self._revision = 1
        self._is_free_at = 0.0
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = f"{LOOPBACK}:{find_ports(1)[0]}"
        self.calls: list[dict[str, str]] = []
        self.failing_reads: set[int] = set()
        self.is_stalled = False
        self.delay_seconds = 0.0

    def put(self, table: str, part: str, key: str, value: str) -> None:
        """Store a row; ``value`` is its Base64 text."""
        self._revision += 1
        self.remove(table, part, key)
        rows = self._parts[table, part]
        document = {"Table": table, "part": part, "Key": key}
        rows.append(document | {"Value": value, "Ver": self._revision})
        rows.sort(key=lambda row: row["Key"].encode())

    def remove(self, table: str, part: str, key: str) -> None:
        rows = self._parts[table, part]
        self._parts[table, part] = [row for row in rows if row["Key"] != key]

    async def open(self, stack: AsyncExitStack) -> None:
        host, port = self.address.split(":")
        server = await asyncio.start_server(self._serve, host, int(port))
        stack.push_async_callback(server.wait_closed)
        stack.callback(self._close_connections)
        stack.callback(server.close)

    def _close_connections(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                await self._serve_one(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # The client has closed the connection, or the test has ended.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        target = head.split(" ", 2)[1]
        length = 0
        for line in head.split("\r\n"):
            if line.lower().startswith("content-length:"):
                length = int(line.split(":")[1])
        body = await reader.readexactly(length)
        while self.is_stalled:
            await asyncio.sleep(0.01)
        await asyncio.sleep(self.delay_seconds)
        document = self._answer(target, body)
        status = "200 OK" if document else "503 Service Unavailable"
        await self._send(writer, status, json.encode(document))

    async def _send(
        self, writer: asyncio.StreamWriter, status: str, body: bytes
    ) -> None:
        head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
        data = head.encode() + body
        loop = asyncio.get_running_loop()
        unsent: deque[float] = deque()
        for start in range(0, len(data), CHUNK_BYTES):
            if writer.is_closing():
                raise ConnectionResetError
            chunk = data[start : start + CHUNK_BYTES]
            # The link carries the chunks of all connections in the order in which they
            # were sent, also those that nobody waits for any more.
            self._is_free_at = max(loop.time(), self._is_free_at)
            self._is_free_at += len(chunk) / self._rate
            loop.call_at(self._is_free_at, _write, writer, chunk)
            unsent.append(self._is_free_at)
            if len(unsent) >= WINDOW_CHUNKS:
                await asyncio.sleep(unsent.popleft() - loop.time())
        await asyncio.sleep(self._is_free_at - loop.time())

    def _answer(self, target: str, body: bytes) -> dict[str, Any]:
        url = urlsplit(target)
        if url.path == "/-/rows-tx":
            for row in json.decode(body)["Upserts"]:
                self.put(row["Table"], row["part"], row["Key"], row["Value"])
            return {"Ver": self._revision}
        query = {
            name: values[0]
            for name, values in parse_qs(url.query, keep_blank_values=True).items()
        }
        self.calls.append(query)
        if not 0 < int(query.get("Limit", "1")) <= PAGE_LIMIT_ROWS:
            return {}
        if len(self.calls) - 1 in self.failing_reads:
            return {}
        return self._read(query)

    def _read(self, query: dict[str, str]) -> dict[str, Any]:
        rows = [
            row
            for row in self._parts[query["Table"], query["part"]]
            if row["Key"] >= query.get("From", "")
            and ("To" not in query or row["Key"] < query["To"])
        ]
        limit = min(PAGE_LIMIT_ROWS, int(query.get("Limit", PAGE_LIMIT_ROWS)))
        page: list[dict[str, Any]] = []
        size = 0
        for row in rows[:limit]:
            size += len(json.encode(row)) + 1
            if page and size > PAGE_LIMIT_BYTES:
                break
            page.append(row)
        return {
            "rows": page,
            "HasMore": len(page) < len(rows),
            "Ver": self._revision,
            "NowMs": 5000,
        }


def _write(writer: asyncio.StreamWriter, chunk: bytes) -> None:
    if not writer.is_closing():
        writer.write(chunk)
