"""In-memory peer links that encode all messages with the production codec."""

from asyncio import (
    Future,
    create_task,
    get_running_loop,
    shield,
    sleep,
    wait_for,
)
from collections.abc import Callable
from typing import TYPE_CHECKING

from jujubebarrow.errors.exceptions import PeerLostError
from jujubebarrow.peers.codecs import decode, encode
from jujubebarrow.peers.identities import PeerIdentity
from jujubebarrow.peers.link_types import Link
from jujubebarrow.peers.messages import Reply, Request

if TYPE_CHECKING:
    from jujubebarrow.tests.fakes.simulated_clusters import SimulatedCluster

DIAL_PERIOD_SECONDS = 0.2


class FakeLink(Link):
    def __init__(
        self,
        cluster: "SimulatedCluster",
        identity: PeerIdentity,
        address: str,
        on_connect: Callable[[Link], None],
    ):
        super().__init__(address)
        self._cluster = cluster
        self._identity = identity
        self._on_connect = on_connect
        self._peer: PeerIdentity | None = None
        self._pending: set[Future[Reply]] = set()

    @property
    def peer(self) -> PeerIdentity | None:
        return self._peer

    async def reset(self) -> None:
        self._set_peer(None)

    async def _run(self) -> None:
        while True:
            host = self._cluster.find_host(self.address)
            reachable_peer = (
                host.identity if host and self._is_reachable(host.identity) else None
            )
            is_host_frozen = host is not None and self._cluster.network.is_frozen(
                host.name
            )
            # Only a reset or the end of the peer's process closes a connection; a
            # network partition or a frozen peer does not.
            if self._peer is None and reachable_peer is not None and not is_host_frozen:
                self._set_peer(reachable_peer)
                self._on_connect(self)
            elif self._peer is not None and (not host or host.identity != self._peer):
                self._set_peer(None)
            await sleep(DIAL_PERIOD_SECONDS)

    def _set_peer(self, peer: PeerIdentity | None) -> None:
        self._peer = peer
        for future in self._pending:
            if not future.done():
                future.set_exception(PeerLostError(self.address, may_have_arrived=True))
        self._pending.clear()

    def _is_reachable(self, target: PeerIdentity) -> bool:
        return self._cluster.network.is_connected(
            self._identity.instance, target.instance
        )

    async def request(self, message: Request, timeout: float) -> Reply:
        host = self._cluster.find_host(self.address)
        if self._peer is None or host is None or host.identity != self._peer:
            raise PeerLostError(self.address, may_have_arrived=False)
        future: Future[Reply] = get_running_loop().create_future()
        self._pending.add(future)
        exchange = create_task(self._exchange(message, host, future))
        try:
            return await wait_for(future, timeout)
        except TimeoutError as error:
            raise PeerLostError(self.address, may_have_arrived=True) from error
        finally:
            self._pending.discard(future)
            exchange.cancel()

    async def _exchange(self, message: Request, host, future: "Future[Reply]") -> None:
        network = self._cluster.network
        await network.wait_until_running(
            self._identity.incarnation, self._identity.instance
        )
        frame = encode(message.model_copy(update={"serial": 7}))
        await network.wait_for_latency()
        # A request to an unreachable peer is not delivered; the requester times out.
        if not self._is_reachable(host.identity):
            await sleep(60)
        await network.wait_until_running(
            host.identity.incarnation, host.identity.instance
        )
        handling = host.handler.handle(decode(frame), self._identity)
        # As on a real peer, the handler continues after the requester has timed out.
        handler_task = create_task(handling, context=host.context)
        host.tasks.add(handler_task)
        reply = decode(encode(await shield(handler_task)))
        await network.wait_for_latency()
        await network.wait_until_running(
            host.identity.incarnation, host.identity.instance
        )
        is_lost = network.random.random() < network.reply_loss_probability
        if is_lost or not self._is_reachable(host.identity):
            await sleep(60)
        await network.wait_until_running(
            self._identity.incarnation, self._identity.instance
        )
        if not future.done():
            future.set_result(reply)  # type: ignore[arg-type]
