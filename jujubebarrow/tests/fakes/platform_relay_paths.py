"""Connections from other instances to one instance, with faults."""

import asyncio
from enum import Enum
from random import Random

from jujubebarrow.tests.fakes.resetting_servers import reset_when_closed

CHUNK_BYTES = 65_536
LONGEST_DELAY_SECONDS = 1.2
"""Longer than an instance waits for a relayed call."""


class RelayFault(Enum):
    """What becomes of the calls from other instances."""

    NONE = "none"
    RESET = "reset"
    LOST_RESPONSE = "lost-response"
    LATE_CALL = "late-call"


class RelayPath:
    """Forwards the connections to one instance.

    Args:
        host: Address of the instance.
        port: Port to listen on.
        peer_port: Port of the instance.
        random: Random generator of the delays.

    Attributes:
        fault: Present fault of the calls.
        lost_count: Number of responses that were lost after the call was forwarded.
    """

    def __init__(self, host: str, port: int, peer_port: int, random: Random):
        self._host = host
        self._port = port
        self._peer_port = peer_port
        self._random = random
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.fault = RelayFault.NONE
        self.lost_count = 0

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self._host, self._port)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()
        await asyncio.sleep(0)

    def reset_connections(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            reset_when_closed(writer)
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writers = {writer}
        self._writers.add(writer)
        try:
            if self.fault is RelayFault.RESET:
                return
            peer_reader, peer_writer = await asyncio.open_connection(
                self._host, self._peer_port
            )
            writers.add(peer_writer)
            self._writers.add(peer_writer)
            await asyncio.wait(
                {
                    asyncio.create_task(self._forward_calls(reader, peer_writer)),
                    asyncio.create_task(self._forward_responses(peer_reader, writer)),
                },
                return_when=asyncio.FIRST_COMPLETED,
            )
        except OSError:
            return
        finally:
            for each in writers:
                self._writers.discard(each)
                reset_when_closed(each)
                each.transport.abort()

    async def _forward_calls(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.fault is RelayFault.RESET:
                    return
                if self.fault is RelayFault.LATE_CALL:
                    delay_seconds = self._random.uniform(0.0, LONGEST_DELAY_SECONDS)
                    await asyncio.sleep(delay_seconds)
                writer.write(data)
                await writer.drain()
        except OSError:
            return

    async def _forward_responses(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.fault is RelayFault.LOST_RESPONSE:
                    self.lost_count += 1
                    return
                writer.write(data)
                await writer.drain()
        except OSError:
            return
