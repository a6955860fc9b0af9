"""What a failed call tells about the request."""

import asyncio
import socket
import struct
import unittest

from jujubebarrow.standins.ports import LOOPBACK, find_ports
from jujubebarrow.transports.http_clients import HttpCallError, HttpClient

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
TIMEOUT_SECONDS = 2.0


class ResettingServer:
    """Answers the first request; reads the second one, then resets and disappears."""

    def __init__(self) -> None:
        self.request_count = 0
        self._server: asyncio.Server | None = None

    async def open(self, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, LOOPBACK, port)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        assert self._server is not None
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            if b"Content-Length: 4" in head:
                await reader.readexactly(4)
            self.request_count += 1
            if self.request_count == 2:
                break
            writer.write(RESPONSE)
        self._server.close()
        connection = writer.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()


class HttpClientTest(unittest.IsolatedAsyncioTestCase):
    async def test_request_read_before_a_reset_does_not_count_as_never_sent(
        self,
    ) -> None:
        # curl repeats such a request on a new connection, which is refused.
        server = ResettingServer()
        port = find_ports(1)[0]
        await server.open(port)
        client = HttpClient(4)
        self.addCleanup(client.close)
        url = f"http://{LOOPBACK}:{port}/"
        await client.call("POST", url, TIMEOUT_SECONDS, b"body")
        with self.assertRaises(HttpCallError) as caught:
            await client.call("POST", url, TIMEOUT_SECONDS, b"body")
        self.assertEqual(server.request_count, 2)
        self.assertTrue(caught.exception.may_have_arrived)

    async def test_request_to_a_closed_port_counts_as_never_sent(self) -> None:
        client = HttpClient(4)
        self.addCleanup(client.close)
        url = f"http://{LOOPBACK}:{find_ports(1)[0]}/"
        with self.assertRaises(HttpCallError) as caught:
            await client.call("POST", url, TIMEOUT_SECONDS, b"body")
        self.assertFalse(caught.exception.may_have_arrived)
