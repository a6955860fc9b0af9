"""Server that accepts peer links."""

from asyncio import Task, create_task, wait_for
from secrets import token_bytes

from loguru import logger
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import WebSocketException

from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.peers.codecs import ProtocolError, decode, encode
from jujubebarrow.peers.handlers import PeerHandler
from jujubebarrow.peers.handshake_messages import Challenge, Hello, Welcome
from jujubebarrow.peers.identities import PeerIdentity
from jujubebarrow.peers.messages import PROTOCOL_VERSION, Request
from jujubebarrow.peers.proofs import NONCE_BYTES, compute_proof, is_valid_proof
from jujubebarrow.settings.settings import Settings


class PeerServer:
    """Accepts links from peers that prove knowledge of the peer secret.

    Args:
        identity: Identity of this process.
        settings: Settings with the listen address, the peer secret and limits.
        metrics: Registry of the counters.
        handler: Handler of the peers' requests.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        settings: Settings,
        metrics: MetricsRegistry,
        handler: PeerHandler,
    ):
        self._identity = identity
        self._settings = settings
        self._metrics = metrics
        self._handler = handler
        self._server: Server | None = None
        self._tasks: set[Task[None]] = set()

    async def open(self) -> None:
        """Bind the listen address and start accepting links.

        Raises:
            OSError: The address cannot be bound, for instance because another process
                uses the address.
        """
        self._server = await serve(
            self._accept,
            str(self._settings.address),
            self._settings.peer_port,
            compression=None,
            ping_interval=None,
            max_size=self._settings.peer_message_limit,
        )

    async def close(self) -> None:
        """Stop accepting links and close all open ones."""
        if self._server is None:
            return
        self._server.close()
        await self._server.wait_closed()

    async def _accept(self, connection: ServerConnection) -> None:
        try:
            peer = await self._perform_handshake(connection)
            async for frame in connection:
                self._handle_frame(connection, frame, peer)
        except ProtocolError as error:
            # The first word of the message becomes the metric label.
            self._metrics.count("peer_message_refused", str(error).split()[0])
        except (WebSocketException, OSError, TimeoutError) as error:
            self._metrics.count("peer_link_failure", type(error).__name__)

    async def _perform_handshake(self, connection: ServerConnection) -> PeerIdentity:
        nonce = token_bytes(NONCE_BYTES)
        challenge = Challenge(version=PROTOCOL_VERSION, nonce=nonce)
        await connection.send(encode(challenge))
        frame = await wait_for(connection.recv(), self._settings.peer_timeout)
        hello = decode(frame)
        if not isinstance(hello, Hello):
            raise ProtocolError(f"hello expected, received {hello.kind}")
        if hello.version != PROTOCOL_VERSION:
            raise ProtocolError(
                f"version {hello.version} is not the expected {PROTOCOL_VERSION}"
            )
        peer = PeerIdentity(hello.instance, hello.incarnation, hello.zone)
        if not is_valid_proof(self._settings.peer_secret, nonce, peer, hello.proof):
            raise ProtocolError(f"proof of {peer.instance} is invalid")
        proof = compute_proof(self._settings.peer_secret, hello.nonce, self._identity)
        await connection.send(encode(Welcome(**self._identity._asdict(), proof=proof)))
        return peer

    def _handle_frame(
        self, connection: ServerConnection, frame: bytes | str, peer: PeerIdentity
    ) -> None:
        self._metrics.count("peer_bytes", "received", len(frame))
        request = decode(frame)
        if not isinstance(request, Request):
            raise ProtocolError(f"request expected, received {request.kind}")
        task = create_task(self._handle_request(connection, request, peer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle_request(
        self, connection: ServerConnection, request: Request, peer: PeerIdentity
    ) -> None:
        try:
            reply = await self._handler.handle(request, peer)
            frame = encode(reply)
            self._metrics.count("peer_bytes", "sent", len(frame))
            await connection.send(frame)
        except WebSocketException:
            self._metrics.count("peer_reply_dropped", "link")
        except Exception:
            logger.exception("handling peer request {} failed", request.kind)
            self._metrics.count("peer_request_failed", request.kind)
