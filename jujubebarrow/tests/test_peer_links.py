"""Late, duplicate and misdirected replies on a peer link.

Guards against a reply that is delivered to the wrong request, because the reply arrives
after the timeout, arrives twice, or is addressed to another process.
"""

import asyncio
import unittest
from contextlib import suppress
from random import Random

from websockets.asyncio.server import serve
from websockets.exceptions import ConnectionClosed

from jujubebarrow.benches.decisions import make_settings
from jujubebarrow.errors.exceptions import PeerLostError
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.peers.codecs import decode, encode
from jujubebarrow.peers.handshake_messages import Challenge, Hello, Welcome
from jujubebarrow.peers.identities import PeerIdentity
from jujubebarrow.peers.links import PeerLink
from jujubebarrow.peers.loan_messages import LoanReply, LoanRequest
from jujubebarrow.peers.proofs import compute_proof

OWN_IDENTITY = PeerIdentity("entry-0", "process-0", "zone-a")
PEER_IDENTITY = PeerIdentity("entry-1", "process-1", "zone-a")


class PeerLinkTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.settings = make_settings()
        self.metrics = MetricsRegistry()
        # Addressee and serial offset of each reply that the server sends to a request.
        self.replies: list[tuple[str, int]] = []
        self.server = await serve(self.accept, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        connected = asyncio.Event()
        self.link = PeerLink(
            f"127.0.0.1:{port}",
            OWN_IDENTITY,
            self.settings,
            self.metrics,
            Random(1),
            lambda link: connected.set(),
        )
        self.link.open()
        await asyncio.wait_for(connected.wait(), 5)

    async def asyncTearDown(self) -> None:
        await self.link.close()
        self.server.close()
        await self.server.wait_closed()

    async def accept(self, connection) -> None:
        secret = self.settings.peer_secret
        await connection.send(encode(Challenge(version=1, nonce=b"n" * 16)))
        hello = decode(await connection.recv())
        assert isinstance(hello, Hello)
        proof = compute_proof(secret, hello.nonce, PEER_IDENTITY)
        await connection.send(encode(Welcome(**PEER_IDENTITY._asdict(), proof=proof)))
        with suppress(ConnectionClosed):
            async for frame in connection:
                request = decode(frame)
                for to, serial_offset in self.replies:
                    await connection.send(
                        self.make_reply(to, request.serial + serial_offset)
                    )

    def make_reply(self, to: str, serial: int) -> bytes:
        name = f"{to}/{serial}"
        return encode(LoanReply(serial=serial, to=to, loan=name, count=1, until=1.0))

    async def borrow(self) -> LoanReply:
        request = LoanRequest(team="tuna", wanted=1)
        reply = await self.link.request(request, 0.5)
        assert isinstance(reply, LoanReply)
        return reply

    async def test_replies_to_other_processes_and_requests_are_dropped(self) -> None:
        self.replies = [("process-9", 0), ("process-0", 5), ("process-0", 0)]
        reply = await self.borrow()
        self.assertEqual(reply.loan, f"process-0/{reply.serial}")
        self.assertEqual(self.metrics.value("peer_reply_dropped", "crossed"), 1)
        self.assertEqual(self.metrics.value("peer_reply_dropped", "late"), 1)

    async def test_duplicate_replies_are_dropped(self) -> None:
        self.replies = [("process-0", 0), ("process-0", 0)]
        first = await self.borrow()
        second = await self.borrow()
        self.assertNotEqual(first.serial, second.serial)
        self.assertEqual(second.loan, f"process-0/{second.serial}")
        self.assertGreaterEqual(self.metrics.value("peer_reply_dropped", "late"), 1)

    async def test_request_without_reply_may_have_arrived(self) -> None:
        with self.assertRaises(PeerLostError) as caught:
            await self.borrow()
        self.assertTrue(caught.exception.may_have_arrived)

    async def test_request_without_link_was_not_sent(self) -> None:
        await self.link.reset()
        with self.assertRaises(PeerLostError) as caught:
            await self.link.request(LoanRequest(team="tuna", wanted=1), 0.5)
        self.assertFalse(caught.exception.may_have_arrived)
