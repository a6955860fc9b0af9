"""Bad input over the callers' port and the peer port of a real daemon."""

import asyncio
import json
from datetime import UTC, datetime, timedelta

from cbor2 import dumps
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed

from jujubebarrow.peers.codecs import decode, encode
from jujubebarrow.peers.handshake_messages import Challenge, Hello
from jujubebarrow.peers.proofs import prove
from jujubebarrow.standins.fleets import PEER_SECRET, FleetShape
from jujubebarrow.standins.ports import LOOPBACK
from jujubebarrow.tests.fleet_cases import FleetCase


class BadInputTest(FleetCase):
    shape = FleetShape(
        zones=("zone-a",),
        entries=1,
        overrides={"body_limit": 65536, "receive_timeout": 1.0},
    )

    async def post(self, path: str, body: bytes = b"{}", **headers: str):
        url = f"http://{LOOPBACK}:{self.entries[0].caller_port}{path}"
        return await self.fleet.fetch("POST", url, body, **headers)

    async def expect(self, code: int, kind: str, path: str, **headers) -> None:
        body = headers.pop("body", b"{}")
        response = await self.post(path, body, **headers)
        problem = json.loads(response.body)
        self.assertEqual((response.code, problem["kind"]), (code, kind))
        self.assertEqual(problem["run"], "not-run")
        self.assertEqual(response.headers["Run-State"], "not-run")

    async def metric(self, text: str) -> int:
        response = await self.fleet.operate(self.entries[0], "GET", "/metrics")
        for line in response.body.decode().splitlines():
            if text in line:
                return int(line.rsplit(" ", 1)[1])
        return 0

    async def wait_for_metric(self, text: str) -> None:
        async def counted() -> bool:
            return await self.metric(text) > 0

        await self.fleet.wait_until(counted, text, 20)

    async def test_callers(self) -> None:
        path = "/v1/queues/labels/requests"
        good = "Bearer " + self.fleet.keys["tuna"]
        await self.expect(401, "unauthenticated", path)
        await self.expect(401, "unauthenticated", path, Authorization="Bearer x")
        await self.expect(401, "unauthenticated", path, Authorization="Basic x")
        await self.expect(
            404, "unknown-queue", "/v1/queues/none/requests", Authorization=good
        )
        await self.expect(
            403, "forbidden-queue", "/v1/queues/reef-only/requests", Authorization=good
        )
        await self.expect(
            413, "body-too-large", path, Authorization=good, body=b"x" * 65537
        )
        await self.expect(
            400,
            "bad-json",
            path,
            Authorization=good,
            Content_Type="application/json",
            body=b"{",
        )
        for timeout in ("-1", "0", "soon", "nan"):
            await self.expect(
                400, "bad-deadline", path, Authorization=good, Request_Timeout=timeout
            )
        past = (datetime.now(UTC) - timedelta(seconds=5)).isoformat()
        await self.expect(400, "bad-deadline", path, Authorization=good, Deadline=past)
        await self.expect(
            400,
            "idempotency-key-required",
            "/v1/queues/certificates/requests",
            Authorization=good,
        )
        await self.expect(
            422, "never-runs", "/v1/queues/huge/requests", Authorization=good
        )
        self.assertEqual(await self.fleet.all_tasks(), [])

    async def test_operator_key_and_caller_key_open_only_their_own_port(self) -> None:
        entry = self.entries[0]
        url = f"http://{LOOPBACK}:{entry.operator_port}/v1/status"
        key = "Bearer " + self.fleet.keys["tuna"]
        response = await self.fleet.fetch("GET", url, Authorization=key)
        self.assertEqual(response.code, 403)
        response = await self.fleet.fetch("GET", url)
        self.assertEqual(response.code, 401)

    async def test_broken_connections(self) -> None:
        port = self.entries[0].caller_port
        line = b"POST /v1/queues/verify/requests HTTP/1.1\r\nHost: x\r\n"
        await self.send_raw(port, line + b"X: " + b"a" * 20000 + b"\r\n\r\n")
        await self.wait_for_metric("library_message")
        _, writer = await asyncio.open_connection(LOOPBACK, port)
        writer.write(line + b"Content-Length: 100\r\n\r\nhalf")
        await writer.drain()
        writer.close()
        await self.wait_for_metric("connection_closed_early")
        # A slow sender is cut off after the receive timeout.
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        writer.write(line + b"Content-Length: 100\r\n\r\nslow")
        await asyncio.wait_for(reader.read(), 10)
        writer.close()
        response = await self.fleet.call(self.entries[0], "verify", "")
        self.assertEqual(response.code, 200)
        self.assertEqual(len(await self.fleet.all_tasks()), 1)

    async def send_raw(self, port: int, data: bytes) -> None:
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        writer.write(data)
        await asyncio.wait_for(reader.read(), 10)
        writer.close()

    async def test_peers(self) -> None:
        await self.talk(b"\xff\xff", greet=False)
        await self.talk(dumps({"kind": "no-such-kind"}), greet=True)
        await self.talk(dumps([1, 2, 3]), greet=True)
        await self.talk(b"\x9f" * 1000, greet=True)
        await self.refuse_hello("version", version=2)
        await self.refuse_hello("proof", secret="another secret of 16")
        self.assertEqual(await self.refused_messages(), 6)
        response = await self.fleet.call(self.entries[0], "labels", "tuna")
        self.assertEqual(response.code, 200)

    async def refused_messages(self) -> int:
        response = await self.fleet.operate(self.entries[0], "GET", "/metrics")
        lines = response.body.decode().splitlines()
        return sum(
            int(line.rsplit(" ", 1)[1])
            for line in lines
            if "peer_message_refused" in line
        )

    async def talk(self, frame: bytes, greet: bool) -> None:
        before = await self.refused_messages()
        url = f"ws://{LOOPBACK}:{self.entries[0].peer_port}"
        async with connect(url, proxy=None) as connection:
            challenge = decode(await connection.recv())
            assert isinstance(challenge, Challenge)
            if greet:
                await connection.send(encode(self.hello(challenge)))
                await connection.recv()
            await connection.send(frame)
            with self.assertRaises(ConnectionClosed):
                await asyncio.wait_for(connection.recv(), 10)
        self.assertEqual(await self.refused_messages(), before + 1)

    def hello(self, challenge: Challenge, version: int = 1, secret: str = PEER_SECRET):
        identity = ("stranger", "incarnation", "zone-a")
        return Hello(
            version=version,
            instance=identity[0],
            incarnation=identity[1],
            zone=identity[2],
            nonce=b"n" * 16,
            proof=prove(secret, challenge.nonce, identity),
        )

    async def refuse_hello(self, reason: str, **options) -> None:
        url = f"ws://{LOOPBACK}:{self.entries[0].peer_port}"
        async with connect(url, proxy=None) as connection:
            challenge = decode(await connection.recv())
            assert isinstance(challenge, Challenge)
            await connection.send(encode(self.hello(challenge, **options)))
            with self.assertRaises(ConnectionClosed):
                await asyncio.wait_for(connection.recv(), 10)
        await self.wait_for_metric(f'peer_message_refused_total{{kind="{reason}"}}')
