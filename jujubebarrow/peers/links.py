"""Dialling side of a peer link."""

from asyncio import (
    Future,
    get_running_loop,
    sleep,
    wait_for,
)
from collections.abc import Callable
from itertools import count
from random import Random
from secrets import token_bytes

from loguru import logger
from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import WebSocketException

from jujubebarrow.errors.exceptions import PeerLostError
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.peers.codecs import ProtocolError, decode, encode
from jujubebarrow.peers.handshake_messages import Challenge, Hello, Welcome
from jujubebarrow.peers.identities import PeerIdentity
from jujubebarrow.peers.link_types import Link
from jujubebarrow.peers.messages import PROTOCOL_VERSION, Reply, Request
from jujubebarrow.peers.proofs import NONCE_BYTES, compute_proof, is_valid_proof
from jujubebarrow.settings.settings import Settings

MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0


class PeerLink(Link):
    """Maintains a connection to one address and matches replies to requests.

    Args:
        address: IP address and port to dial.
        identity: Identity of this process.
        settings: Settings with the peer secret, timeouts and limits.
        metrics: Registry of the counters.
        random: Source of jitter.
        on_connect: Called with the link after each completed handshake.
    """

    def __init__(
        self,
        address: str,
        identity: PeerIdentity,
        settings: Settings,
        metrics: MetricsRegistry,
        random: Random,
        on_connect: Callable[[Link], None],
    ):
        super().__init__(address)
        self._identity = identity
        self._settings = settings
        self._metrics = metrics
        self._random = random
        self._on_connect = on_connect
        self._connection: ClientConnection | None = None
        self._peer: PeerIdentity | None = None
        self._pending: dict[int, Future[Reply]] = {}
        self._serials = count(1)

    @property
    def peer(self) -> PeerIdentity | None:
        """Identity of the connected peer, or None while disconnected."""
        return self._peer if self._connection else None

    async def reset(self) -> None:
        """Drop the connection to an unresponsive peer and reconnect."""
        connection = self._connection
        self._drop_connection()
        if connection is not None:
            connection.transport.abort()

    async def request(self, message: Request, timeout: float) -> Reply:
        """Send a request and wait for its reply.

        Args:
            message: Request to send; the link replaces the serial number.
            timeout: Maximum time to wait for the reply, in seconds.

        Raises:
            PeerLostError: The link is down or failed, or no reply arrived in time.
        """
        if self._connection is None:
            raise PeerLostError(self.address, may_have_arrived=False)
        serial = next(self._serials)
        frame = encode(message.model_copy(update={"serial": serial}))
        future: Future[Reply] = get_running_loop().create_future()
        self._pending[serial] = future
        try:
            self._metrics.count("peer_bytes", "sent", len(frame))
            await self._connection.send(frame)
            return await wait_for(future, timeout)
        except (WebSocketException, OSError, TimeoutError) as error:
            raise PeerLostError(self.address, may_have_arrived=True) from error
        finally:
            self._pending.pop(serial, None)

    async def _run(self) -> None:
        backoff = MIN_BACKOFF_SECONDS
        while True:
            try:
                await self._run_connection()
                backoff = MIN_BACKOFF_SECONDS
            except (WebSocketException, OSError, TimeoutError, ProtocolError) as error:
                self._metrics.count("peer_link_failure", type(error).__name__)
            finally:
                self._drop_connection()
            await sleep(backoff * self._random.uniform(0.5, 1.0))
            backoff = min(MAX_BACKOFF_SECONDS, backoff * 2)

    async def _run_connection(self) -> None:
        async with connect(
            f"ws://{self.address}",
            compression=None,
            ping_interval=None,
            max_size=self._settings.peer_message_limit,
            open_timeout=self._settings.peer_timeout,
            close_timeout=self._settings.peer_timeout,
            proxy=None,
        ) as connection:
            self._peer = await self._perform_handshake(connection)
            self._connection = connection
            logger.info("connected to peer {}", self._peer.instance)
            self._on_connect(self)
            async for frame in connection:
                self._handle_frame(frame)

    async def _perform_handshake(self, connection: ClientConnection) -> PeerIdentity:
        timeout = self._settings.peer_timeout
        challenge = decode(await wait_for(connection.recv(), timeout))
        if not isinstance(challenge, Challenge):
            raise ProtocolError(f"expected a challenge, received {challenge.kind}")
        if challenge.version != PROTOCOL_VERSION:
            raise ProtocolError(
                f"peer uses protocol version {challenge.version}, "
                f"expected {PROTOCOL_VERSION}"
            )
        nonce = token_bytes(NONCE_BYTES)
        proof = compute_proof(
            self._settings.peer_secret, challenge.nonce, self._identity
        )
        hello = Hello(
            version=PROTOCOL_VERSION,
            instance=self._identity.instance,
            incarnation=self._identity.incarnation,
            zone=self._identity.zone,
            nonce=nonce,
            proof=proof,
        )
        await connection.send(encode(hello))
        welcome = decode(await wait_for(connection.recv(), timeout))
        if not isinstance(welcome, Welcome):
            raise ProtocolError(f"expected a welcome, received {welcome.kind}")
        peer = PeerIdentity(welcome.instance, welcome.incarnation, welcome.zone)
        if not is_valid_proof(self._settings.peer_secret, nonce, peer, welcome.proof):
            raise ProtocolError(f"invalid secret proof from peer {peer.instance}")
        return peer

    def _handle_frame(self, frame: bytes | str) -> None:
        self._metrics.count("peer_bytes", "received", len(frame))
        reply = decode(frame)
        to = getattr(reply, "to", None)
        if to != self._identity.incarnation:
            self._metrics.count("peer_reply_dropped", "crossed")
            return
        future = self._pending.get(reply.serial)  # type: ignore[union-attr]
        if future is None or future.done():
            self._metrics.count("peer_reply_dropped", "late")
            return
        future.set_result(reply)  # type: ignore[arg-type]

    def _drop_connection(self) -> None:
        if self._connection is not None and self._peer is not None:
            logger.info("disconnected from peer {}", self._peer.instance)
        self._connection = None
        for future in self._pending.values():
            if not future.done():
                future.set_exception(PeerLostError(self.address, may_have_arrived=True))
