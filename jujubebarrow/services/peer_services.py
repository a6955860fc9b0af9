"""Maintains links to all peers and sends heartbeats over the links."""

from asyncio import Task, create_task, sleep
from collections.abc import Callable
from random import Random

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.configurations.configurations import Configuration
from jujubebarrow.configurations.freshness import Attestation, FreshnessLease
from jujubebarrow.errors.exceptions import PeerLostError
from jujubebarrow.homes.borrowers import PeerClient
from jujubebarrow.members.peer_directories import PeerDirectory, PeerRecord
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.peers.configuration_messages import ChangesReply, ChangesRequest
from jujubebarrow.peers.deltas import apply_delta
from jujubebarrow.peers.heartbeat_messages import Ping, Pong
from jujubebarrow.peers.identities import PeerIdentity
from jujubebarrow.peers.link_types import Link, LinkFactory
from jujubebarrow.peers.messages import Reply, Request
from jujubebarrow.peers.status_messages import PeerStatus
from jujubebarrow.services.configuration_services import ConfigurationService
from jujubebarrow.services.seat_services import SeatService
from jujubebarrow.settings.settings import Settings

MISSED_HEARTBEAT_LIMIT = 2
"""Number of consecutive missed heartbeats after which a link is reset."""


class PeerService(PeerClient):
    """Connects to every known peer and updates the directory of peers.

    Args:
        identity: Identity of this process.
        settings: Settings with addresses, periods and timeouts.
        metrics: Registry of the counters.
        clock: Time source.
        random: Source of jitter.
        directory: Directory that receives the peers' status.
        configuration: Records in force in this process.
        freshness: Lease that receives the peers' attestations.
        configuration_service: Service that applies changes fetched from peers.
        seats: Service that tracks the holders of seats.
        on_status: Called with the peer's record after each reply to a heartbeat.
        connect: Factory of links.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        settings: Settings,
        metrics: MetricsRegistry,
        clock: Clock,
        random: Random,
        directory: PeerDirectory,
        configuration: Configuration,
        freshness: FreshnessLease,
        configuration_service: ConfigurationService,
        seats: SeatService,
        on_status: Callable[[PeerRecord], None],
        connect: LinkFactory,
    ):
        self._identity = identity
        self._settings = settings
        self._metrics = metrics
        self._clock = clock
        self._random = random
        self._directory = directory
        self._configuration = configuration
        self._freshness = freshness
        self._configuration_service = configuration_service
        self._seats = seats
        self._on_status = on_status
        self._connect = connect
        self._links: dict[str, Link] = {}
        self._heartbeat_tasks: dict[str, Task[None]] = {}
        self._own_address = f"{settings.address}:{settings.dialled_port}"

    @property
    def address(self) -> str:
        """Address at which peers connect to this process."""
        return self._own_address

    def open(self) -> None:
        """Connect to the peers that the settings name."""
        for address in self._settings.peers:
            self.add_link(address)

    async def close(self) -> None:
        """Close all links."""
        for address in list(self._links):
            await self._remove(address)

    def add_link(self, address: str) -> None:
        """Connect to a peer's address unless a link to that address exists."""
        if address in self._links or address == self._own_address:
            return
        link = self._connect(address, self._start_heartbeats)
        self._links[address] = link
        link.open()

    async def _remove(self, address: str) -> None:
        heartbeat = self._heartbeat_tasks.pop(address, None)
        if heartbeat is not None:
            heartbeat.cancel()
        await self._links.pop(address).close()

    def find_link(self, instance: str) -> Link | None:
        """Return the link to an instance, or None if no link is connected."""
        for link in self._links.values():
            if link.peer is not None and link.peer.instance == instance:
                return link
        return None

    async def request(self, instance: str, message: Request, timeout: float) -> Reply:
        """Send a request to an instance and wait for the reply.

        Raises:
            PeerLostError: No link is connected, or no reply was received.
        """
        link = self.find_link(instance)
        if link is None:
            raise PeerLostError(instance, may_have_arrived=False)
        return await link.request(message, timeout)

    def _start_heartbeats(self, link: Link) -> None:
        previous = self._heartbeat_tasks.get(link.address)
        if previous is not None:
            previous.cancel()
        self._heartbeat_tasks[link.address] = create_task(self._send_heartbeats(link))

    async def _send_heartbeats(self, link: Link) -> None:
        period = self._settings.heartbeat_period
        missed_count = 0
        while link.peer is not None:
            try:
                await self._send_heartbeat(link)
                missed_count = 0
            except PeerLostError:
                self._metrics.count("heartbeat_missed")
                missed_count += 1
            if missed_count == MISSED_HEARTBEAT_LIMIT:
                # Without a reset, pending requests on the link would wait until their
                # deadlines.
                await link.reset()
                return
            await sleep(period * self._random.uniform(0.9, 1.1))

    async def _send_heartbeat(self, link: Link) -> None:
        seat = self._seats.seat_number
        sent_at = self._clock.monotonic()
        record = self._directory.get(link.peer.instance) if link.peer else None
        ping = Ping(
            serial=0,
            acknowledged=record.version_to_acknowledge(link.peer) if record else 0,
            instance=self._identity.instance,
            incarnation=self._identity.incarnation,
            address=self._own_address,
            seat=seat,
        )
        pong = await link.request(ping, self._settings.peer_timeout)
        if not isinstance(pong, Pong):
            self._metrics.count("peer_reply_dropped", "kind")
            return
        if seat is not None:
            self._seats.record_acknowledgment(pong.status.incarnation)
        self._record_status(pong.status, sent_at)
        if pong.status.revision > self._configuration.revision:
            await self._fetch_changes(link)

    def _record_status(self, status: PeerStatus, sent_at: float) -> None:
        record = self._directory.get(status.instance)
        if record is None or record.status.incarnation != status.incarnation:
            record = PeerRecord(status)
            self._directory.put(record)
        record.status = status
        record.last_response_at = self._clock.monotonic()
        record.round_trip = record.last_response_at - sent_at
        apply_delta(record.usage, status.usage, status.full)
        apply_delta(record.pools, status.pools, status.full)
        self._seats.record_holder(status.incarnation, status.seat)
        age = float("inf") if status.age is None else status.age
        attestation = Attestation(sent_at, status.revision, age, status.write_pending)
        self._freshness.record_attestation(
            status.incarnation, attestation, self._configuration.revision
        )
        self._on_status(record)

    async def _fetch_changes(self, link: Link) -> None:
        since = self._configuration.revision
        request = ChangesRequest(since=since)
        reply = await link.request(request, self._settings.peer_timeout)
        # The reply is discarded if the change feed has applied rows in the meantime,
        # because the reply may contain older rows.
        if isinstance(reply, ChangesReply) and since == self._configuration.revision:
            self._configuration_service.apply_rows(reply.rows)

    def list_responsive_peers(self) -> list[str]:
        """Return the responsive instances in random order."""
        names = [
            record.status.instance for record in self._directory.responsive_records()
        ]
        self._random.shuffle(names)
        return names
