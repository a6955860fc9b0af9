"""Process of one entry instance: opens its sockets and starts its services."""

from asyncio import Event
from collections.abc import Callable
from contextlib import AsyncExitStack
from random import SystemRandom
from uuid import uuid4

from loguru import logger
from tornado.httpserver import HTTPServer
from tornado.web import Application

from jujubebarrow.callers.applications import make_caller_application
from jujubebarrow.clocks.system_clocks import SystemClock
from jujubebarrow.daemons.job_nodes import JobNode
from jujubebarrow.daemons.nodes import Node
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.operators.applications import make_operator_application
from jujubebarrow.peers.identities import PeerIdentity
from jujubebarrow.peers.link_types import Link
from jujubebarrow.peers.links import PeerLink
from jujubebarrow.peers.servers import PeerServer
from jujubebarrow.settings.settings import Settings
from jujubebarrow.stores.http_stores import HttpStore
from jujubebarrow.upstreams.http_upstream_clients import HttpUpstreamClient

READABLE_BODY_FACTOR = 4
"""Multiple of the body limit up to which a request body is read completely, so that the
refusal of an oversized body reaches the client."""


class Daemon:
    """Entry instance with its servers for callers, operators and peers.

    Args:
        settings: Validated settings of the instance.
    """

    def __init__(self, settings: Settings):
        self._settings = settings
        self._random = SystemRandom()
        self._stop_requested = Event()
        self.metrics = MetricsRegistry()
        self._identity = PeerIdentity(settings.instance, uuid4().hex, settings.zone)
        self._platform = HttpStore(
            settings.platform_url, settings.zone, settings.store_timeout, self.metrics
        )
        self._upstreams = HttpUpstreamClient(settings.probe_timeout)
        self._node = Node(
            settings,
            self._identity,
            SystemClock(),
            self._random,
            self._platform,
            self._upstreams,
            self._make_peer_link,
            self.metrics,
        )

        self._job_node = JobNode(
            settings,
            self._node,
            self._identity.incarnation,
            self._platform,
            self.metrics,
        )

    def _make_peer_link(self, address: str, on_connect: Callable[[Link], None]) -> Link:
        return PeerLink(
            address,
            self._identity,
            self._settings,
            self.metrics,
            self._random,
            on_connect,
        )

    def stop(self) -> None:
        """Request a graceful stop; ``run`` returns once the stop is complete."""
        self._stop_requested.set()

    async def run(self) -> None:
        """Run until ``stop`` is called, then finish requests in progress and close."""
        async with AsyncExitStack() as stack:
            await self._open(stack)
            logger.info("started instance {}", self._settings.instance)
            await self._stop_requested.wait()
            logger.info("stopping instance {}", self._settings.instance)
            await self._job_node.hand_over()
            await self._node.finish_work()
        logger.info("stopped instance {}", self._settings.instance)

    async def _open(self, stack: AsyncExitStack) -> None:
        # The stack closes in reverse order: servers first, the platform client last.
        stack.callback(self._platform.close)
        stack.callback(self._upstreams.close)
        server = PeerServer(
            self._identity, self._settings, self.metrics, self._node.peer_handler
        )
        # The peer port is bound before any seat is claimed: a successful bind proves
        # that an earlier process of this instance has ended.
        await server.open()
        stack.push_async_callback(server.close)
        await self._node.open(stack)
        await self._job_node.open(stack)
        job_access = self._job_node.job_access
        callers = make_caller_application(self._node.make_caller_context(job_access))
        operators = make_operator_application(
            self._node.make_operator_context(job_access)
        )
        self._listen(stack, callers, self._settings.caller_port)
        self._listen(stack, operators, self._settings.operator_port)

    def _listen(
        self, stack: AsyncExitStack, application: Application, port: int
    ) -> None:
        settings = self._settings
        server = HTTPServer(
            application,
            max_body_size=READABLE_BODY_FACTOR * settings.body_limit,
            max_header_size=settings.header_limit,
            body_timeout=settings.receive_timeout,
            idle_connection_timeout=settings.receive_timeout,
        )
        server.listen(port, str(settings.address))
        stack.push_async_callback(server.close_all_connections)
        stack.callback(server.stop)
