"""Invalid input on the caller, operator and peer ports of a running daemon.

Guards against an invalid request or peer message that is executed or that stops the
daemon from serving later requests.
"""

import asyncio
import json
from datetime import UTC, datetime, timedelta

from cbor2 import dumps
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed

from jujubebarrow.peers.codecs import decode, encode
from jujubebarrow.peers.handshake_messages import Challenge, Hello
from jujubebarrow.peers.proofs import compute_proof
from jujubebarrow.standins.fleets import PEER_SECRET, FleetShape
from jujubebarrow.standins.ports import LOOPBACK
from jujubebarrow.tests.fleet_cases import FleetCase


class BadInputTest(FleetCase):
    shape = FleetShape(
        zones=("zone-a",),
        entries_per_zone=1,
        overrides={"body_limit": 65536, "receive_timeout": 1.0},
    )

    async def post(self, path: str, body: bytes = b"{}", **headers: str):
        url = f"http://{LOOPBACK}:{self.entries[0].caller_port}{path}"
        return await self.fleet.fetch("POST", url, body, **headers)

    async def expect_refusal(self, code: int, kind: str, path: str, **headers) -> None:
        body = headers.pop("body", b"{}")
        response = await self.post(path, body, **headers)
        problem = json.loads(response.body)
        self.assertEqual((response.code, problem["kind"]), (code, kind))
        self.assertEqual(problem["run"], "not-run")
        self.assertEqual(response.headers["Run-State"], "not-run")

    async def read_metric(self, text: str) -> int:
        response = await self.fleet.send_operator_request(
            self.entries[0], "GET", "/metrics"
        )
        for line in response.body.decode().splitlines():
            if text in line:
                return int(line.rsplit(" ", 1)[1])
        return 0

    async def wait_for_metric(self, text: str) -> None:
        async def is_counted() -> bool:
            return await self.read_metric(text) > 0

        await self.fleet.wait_until(is_counted, text, 20)

    async def test_invalid_caller_requests_are_refused(self) -> None:
        path = "/v1/queues/labels/requests"
        valid_key = "Bearer " + self.fleet.keys["tuna"]
        await self.expect_refusal(401, "unauthenticated", path)
        await self.expect_refusal(
            401, "unauthenticated", path, Authorization="Bearer x"
        )
        await self.expect_refusal(401, "unauthenticated", path, Authorization="Basic x")
        await self.expect_refusal(
            404, "unknown-queue", "/v1/queues/none/requests", Authorization=valid_key
        )
        await self.expect_refusal(
            403,
            "forbidden-queue",
            "/v1/queues/reef-only/requests",
            Authorization=valid_key,
        )
        await self.expect_refusal(
            413, "body-too-large", path, Authorization=valid_key, body=b"x" * 65537
        )
        await self.expect_refusal(
            400,
            "bad-json",
            path,
            Authorization=valid_key,
            Content_Type="application/json",
            body=b"{",
        )
        for timeout in ("-1", "0", "soon", "nan"):
            await self.expect_refusal(
                400,
                "bad-deadline",
                path,
                Authorization=valid_key,
                Request_Timeout=timeout,
            )
        past = (datetime.now(UTC) - timedelta(seconds=5)).isoformat()
        await self.expect_refusal(
            400, "bad-deadline", path, Authorization=valid_key, Deadline=past
        )
        await self.expect_refusal(
            400,
            "idempotency-key-required",
            "/v1/queues/certificates/requests",
            Authorization=valid_key,
        )
        await self.expect_refusal(
            422, "never-runs", "/v1/queues/huge/requests", Authorization=valid_key
        )
        self.assertEqual(await self.fleet.fetch_started_tasks(), [])

    async def test_operator_port_refuses_caller_key_and_missing_key(self) -> None:
        entry = self.entries[0]
        url = f"http://{LOOPBACK}:{entry.operator_port}/v1/status"
        key = "Bearer " + self.fleet.keys["tuna"]
        response = await self.fleet.fetch("GET", url, Authorization=key)
        self.assertEqual(response.code, 403)
        response = await self.fleet.fetch("GET", url)
        self.assertEqual(response.code, 401)

    async def test_daemon_survives_broken_and_slow_connections(self) -> None:
        port = self.entries[0].caller_port
        request_head = b"POST /v1/queues/verify/requests HTTP/1.1\r\nHost: x\r\n"
        await self.send_raw(port, request_head + b"X: " + b"a" * 20000 + b"\r\n\r\n")
        await self.wait_for_metric("library_message")
        _, writer = await asyncio.open_connection(LOOPBACK, port)
        writer.write(request_head + b"Content-Length: 100\r\n\r\nhalf")
        await writer.drain()
        writer.close()
        await self.wait_for_metric("connection_closed_early")
        # The daemon closes a connection whose request body is still incomplete after
        # receive_timeout.
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        writer.write(request_head + b"Content-Length: 100\r\n\r\nslow")
        await asyncio.wait_for(reader.read(), 10)
        writer.close()
        response = await self.fleet.send_caller_request(self.entries[0], "verify", "")
        self.assertEqual(response.code, 200)
        self.assertEqual(len(await self.fleet.fetch_started_tasks()), 1)

    async def send_raw(self, port: int, data: bytes) -> None:
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        writer.write(data)
        await asyncio.wait_for(reader.read(), 10)
        writer.close()

    async def test_invalid_peer_messages_close_the_link(self) -> None:
        await self.send_invalid_frame(b"\xff\xff", after_handshake=False)
        await self.send_invalid_frame(
            dumps({"kind": "no-such-kind"}), after_handshake=True
        )
        await self.send_invalid_frame(dumps([1, 2, 3]), after_handshake=True)
        await self.send_invalid_frame(b"\x9f" * 1000, after_handshake=True)
        await self.expect_hello_refused("version", version=2)
        await self.expect_hello_refused("proof", secret="another secret of 16")
        self.assertEqual(await self.count_refused_messages(), 6)
        response = await self.fleet.send_caller_request(
            self.entries[0], "labels", "tuna"
        )
        self.assertEqual(response.code, 200)

    async def count_refused_messages(self) -> int:
        response = await self.fleet.send_operator_request(
            self.entries[0], "GET", "/metrics"
        )
        lines = response.body.decode().splitlines()
        return sum(
            int(line.rsplit(" ", 1)[1])
            for line in lines
            if "peer_message_refused" in line
        )

    async def send_invalid_frame(self, frame: bytes, after_handshake: bool) -> None:
        count_before = await self.count_refused_messages()
        url = f"ws://{LOOPBACK}:{self.entries[0].peer_port}"
        async with connect(url, proxy=None) as connection:
            challenge = decode(await connection.recv())
            assert isinstance(challenge, Challenge)
            if after_handshake:
                await connection.send(encode(self.make_hello(challenge)))
                await connection.recv()
            await connection.send(frame)
            with self.assertRaises(ConnectionClosed):
                await asyncio.wait_for(connection.recv(), 10)
        self.assertEqual(await self.count_refused_messages(), count_before + 1)

    def make_hello(
        self, challenge: Challenge, version: int = 1, secret: str = PEER_SECRET
    ):
        identity = ("stranger", "incarnation", "zone-a")
        return Hello(
            version=version,
            instance=identity[0],
            incarnation=identity[1],
            zone=identity[2],
            nonce=b"n" * 16,
            proof=compute_proof(secret, challenge.nonce, identity),
        )

    async def expect_hello_refused(self, reason: str, **options) -> None:
        url = f"ws://{LOOPBACK}:{self.entries[0].peer_port}"
        async with connect(url, proxy=None) as connection:
            challenge = decode(await connection.recv())
            assert isinstance(challenge, Challenge)
            await connection.send(encode(self.make_hello(challenge, **options)))
            with self.assertRaises(ConnectionClosed):
                await asyncio.wait_for(connection.recv(), 10)
        await self.wait_for_metric(f'peer_message_refused_total{{kind="{reason}"}}')
