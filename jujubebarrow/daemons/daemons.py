"""The daemon: builds all services and owns them."""

from asyncio import Event, Task, create_task, sleep
from contextlib import AsyncExitStack
from random import Random, SystemRandom
from uuid import uuid4

from loguru import logger
from tornado.httpserver import HTTPServer
from tornado.web import Application

from jujubebarrow.callers.applications import make_caller_application
from jujubebarrow.callers.authenticators import Authenticator
from jujubebarrow.callers.caller_contexts import CallerContext
from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.clocks.system_clocks import SystemClock
from jujubebarrow.configurations.configurations import Configuration
from jujubebarrow.configurations.freshness import FreshnessLease
from jujubebarrow.configurations.record_kinds import RecordKind
from jujubebarrow.homes.borrowers import Borrower
from jujubebarrow.homes.home_services import HomeService
from jujubebarrow.homes.probers import Prober
from jujubebarrow.invariants.monitors import InvariantMonitor
from jujubebarrow.limits.ledgers import LimitLedger
from jujubebarrow.maintenance.planners import FleetPlanner
from jujubebarrow.members.absences import AbsenceTracker
from jujubebarrow.members.peer_directories import PeerDirectory, PeerRecord
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.operators.applications import make_operator_application
from jujubebarrow.operators.operator_contexts import OperatorContext
from jujubebarrow.operators.status_readers import StatusReader
from jujubebarrow.peers.identities import PeerIdentity
from jujubebarrow.peers.messages import PeerStatus
from jujubebarrow.peers.servers import PeerServer
from jujubebarrow.platforms.http_platforms import HttpPlatform
from jujubebarrow.pools.move_planners import MovePlanner
from jujubebarrow.routes.homes import HomeDirectory
from jujubebarrow.services.claim_stores import ClaimStore
from jujubebarrow.services.commit_batchers import CommitBatcher
from jujubebarrow.services.configuration_services import ConfigurationService
from jujubebarrow.services.control_services import ControlService
from jujubebarrow.services.explanations import ExplanationLog
from jujubebarrow.services.fleet_observers import FleetObserver
from jujubebarrow.services.job_services import JobService
from jujubebarrow.services.peer_request_handlers import PeerRequestHandler
from jujubebarrow.services.peer_services import PeerService
from jujubebarrow.services.request_services import RequestService
from jujubebarrow.services.seat_services import SeatService
from jujubebarrow.services.status_reporters import StatusReporter
from jujubebarrow.settings.settings import Settings
from jujubebarrow.upstreams.http_upstreams import HttpUpstreams

TICK_SECONDS = 0.1
PROBE_TICKS = 5
STOP_POLL_SECONDS = 0.05
RECORD_SECONDS = 5.0
LEAVE_NOTICE_SECONDS = 1.5
"""Time for peers to learn that this instance leaves, in heartbeats."""


class Daemon:
    """One entry instance.

    Args:
        settings: Checked settings.
    """

    def __init__(self, settings: Settings):
        self._settings = settings
        self._clock: Clock = SystemClock()
        self._random: Random = SystemRandom()
        self._stopping = False
        self._stop = Event()
        self._ticker: Task[None] | None = None
        self._probing: Task[None] | None = None
        self.identity = PeerIdentity(settings.instance, uuid4().hex, settings.zone)
        self._build_state()
        self._build_services()
        self._build_control()

    def _build_state(self) -> None:
        settings = self._settings
        self.metrics = MetricsRegistry()
        self._monitor = InvariantMonitor(self.metrics)
        self._explanations = ExplanationLog(self._clock)
        self.configuration = Configuration(self.metrics, self._monitor)
        self._freshness = FreshnessLease(self._clock, settings.key_freshness)
        self._absences = AbsenceTracker(self._clock, settings.gone_after)
        self._directory = PeerDirectory(self._clock, settings.peer_timeout)
        self._ledger = LimitLedger(
            self.configuration,
            self._clock,
            self._monitor,
            settings.seats,
            settings.clock_error,
            self.identity.incarnation,
        )
        self._homes = HomeDirectory(settings.instance, settings.zone, self._directory)
        self._reporter = StatusReporter(self._describe)

    def _build_services(self) -> None:
        settings = self._settings
        self._platform = HttpPlatform(
            settings.platform_url, settings.zone, settings.store_timeout, self.metrics
        )
        self._upstreams = HttpUpstreams(settings.probe_timeout)
        self._batcher = CommitBatcher(
            self._platform, settings.commit_batch, self.metrics
        )
        self._configurations = ConfigurationService(
            self.configuration,
            self._freshness,
            self._platform,
            self._clock,
            self._random,
            settings,
            self.metrics,
            self._explanations,
            self._refresh,
        )
        self._seats = SeatService(
            self.identity,
            self._platform,
            self._ledger,
            self._freshness,
            self._absences,
            self._clock,
            settings,
            self.metrics,
            self._refresh,
            self._ready_peers,
        )
        self._claims = ClaimStore(
            self._platform,
            self._batcher,
            self.identity,
            self._clock,
            self._random,
            self.metrics,
            self._seats.has_ended,
        )
        self._home = HomeService(
            self.identity.incarnation,
            settings.zone,
            self.configuration,
            self._ledger,
            self._claims,
            self._upstreams,
            self._absences,
            self._directory,
            self._clock,
            settings,
            self.metrics,
            self._monitor,
            self._explanations,
            self._configurations.is_fresh,
        )
        self._build_peers()

    def _build_peers(self) -> None:
        settings = self._settings
        self._peers = PeerService(
            self.identity,
            settings,
            self.metrics,
            self._clock,
            self._random,
            self._directory,
            self.configuration,
            self._freshness,
            self._configurations,
            self._seats,
            self._note_peer,
        )
        self._borrower = Borrower(
            self._ledger, self._peers, settings, self.metrics, self._home.pump_all
        )
        self._home.set_borrower(self._borrower)
        handler = PeerRequestHandler(
            settings.instance,
            settings,
            self.configuration,
            self._ledger,
            self._home,
            self._seats,
            self._reporter,
            self._explanations,
            self._peers.add,
            self._borrower.hurry,
            lambda: self._stopping,
        )
        self._peer_server = PeerServer(self.identity, settings, self.metrics, handler)
        self._requests = RequestService(
            settings.instance,
            self.configuration,
            self._homes,
            self._home,
            self._peers,
            self._clock,
            settings,
            self.metrics,
            self._monitor,
            self._explanations,
        )

    def _build_control(self) -> None:
        settings = self._settings
        self._jobs = JobService(
            self.identity,
            self._platform,
            self._batcher,
            self._requests,
            self.configuration,
            self._clock,
            settings,
            self.metrics,
            self._explanations,
            self._seats.has_ended,
        )
        moves = MovePlanner(settings.move_hold, settings.move_wait)
        observer = FleetObserver(
            self.configuration,
            self._directory,
            self._reporter,
            self._absences,
            self._upstreams,
        )
        self._control = ControlService(
            self.identity,
            self._platform,
            self.configuration,
            self._configurations,
            FleetPlanner(moves, self.metrics),
            observer,
            self._upstreams,
            self._jobs,
            self._clock,
            settings,
            self.metrics,
            self._may_control,
        )
        self._prober = Prober(
            self._home, self._upstreams, self._clock, settings, self.metrics
        )

    @property
    def is_ready(self) -> bool:
        """Whether this instance takes work."""
        return self.configuration.revision > 0 and not self._stopping

    def _ready_peers(self) -> frozenset[str]:
        return frozenset(
            record.status.instance
            for record in self._directory.alive()
            if record.status.ready and not record.status.leaving
        )

    def _may_control(self) -> bool:
        return self._seats.may_write and not self._stopping

    def _describe(self) -> PeerStatus:
        settings = self._settings
        age = self._configurations.age
        return PeerStatus(
            instance=settings.instance,
            incarnation=self.identity.incarnation,
            zone=settings.zone,
            address=self._peers.address,
            seat=self._seats.number,
            ready=self.is_ready,
            leaving=self._stopping,
            revision=self.configuration.revision,
            age=None if age == float("inf") else age,
            write_pending=self._configurations.write_pending,
            controls=self._control.holds,
            platform=self._configurations.reaches_platform,
            usage=dict(self._home.usage()),
            pools={pool: self._home.report(pool) for pool in self._own_pools()},
        )

    def _own_pools(self) -> list[str]:
        return [
            pool
            for pool in self.configuration.names(RecordKind.POOL)
            if self._homes.is_home(pool)
        ]

    def _note_peer(self, record: PeerRecord) -> None:
        self._home.note_peer(record)

    def _refresh(self) -> None:
        for address in self._seats.addresses().values():
            self._peers.add(address)
        self._homes.refresh(self.is_ready)
        self._home.refresh()

    async def run(self) -> None:
        """Run until ``stop`` is called, then finish what runs and close all."""
        async with AsyncExitStack() as stack:
            await self._open(stack)
            logger.info("started instance {}", self._settings.instance)
            await self._stop.wait()
            await self._finish_work()
        logger.info("stopped instance {}", self._settings.instance)

    def stop(self) -> None:
        """Ask the daemon to stop."""
        self._stop.set()

    async def _open(self, stack: AsyncExitStack) -> None:
        # Closed in the opposite order: callers first, the platform last.
        stack.callback(self._platform.close)
        stack.callback(self._upstreams.close)
        await self._peer_server.open()
        stack.push_async_callback(self._peer_server.close)
        stack.push_async_callback(self._peers.close)
        stack.push_async_callback(self._seats.release)
        stack.push_async_callback(self._claims.close, RECORD_SECONDS)
        stack.push_async_callback(self._seats.close)
        stack.push_async_callback(self._configurations.close)
        stack.push_async_callback(self._borrower.close)
        stack.push_async_callback(self._control.close)
        stack.push_async_callback(self._jobs.close)
        self._configurations.open()
        self._seats.open()
        self._peers.open()
        self._control.open()
        self._ticker = create_task(self._tick())
        stack.callback(self._ticker.cancel)
        self._listen(stack, self._make_callers(), self._settings.caller_port)
        self._listen(stack, self._make_operators(), self._settings.operator_port)

    def _listen(
        self, stack: AsyncExitStack, application: Application, port: int
    ) -> None:
        settings = self._settings
        server = HTTPServer(
            application,
            max_body_size=4 * settings.body_limit,
            max_header_size=settings.header_limit,
            body_timeout=settings.receive_timeout,
            idle_connection_timeout=settings.receive_timeout,
        )
        server.listen(port, str(settings.address))
        stack.push_async_callback(server.close_all_connections)
        stack.callback(server.stop)

    def _make_callers(self) -> Application:
        authenticator = Authenticator(self.configuration, self._configurations.is_fresh)
        context = CallerContext(
            settings=self._settings,
            clock=self._clock,
            metrics=self.metrics,
            authenticator=authenticator,
            requests=self._requests,
            jobs=self._jobs,
            is_ready=lambda: self.is_ready,
            is_stopping=lambda: self._stopping,
        )
        return make_caller_application(context)

    def _make_operators(self) -> Application:
        status = StatusReader(
            self.configuration,
            self._configurations,
            self._directory,
            self._reporter,
            self._ledger,
            self._clock,
        )
        context = OperatorContext(
            settings=self._settings,
            clock=self._clock,
            metrics=self.metrics,
            configuration=self.configuration,
            configurations=self._configurations,
            status=status,
            peers=self._peers,
            explanations=self._explanations,
            jobs=self._jobs,
            upstreams=self._upstreams,
            may_write=lambda: self._seats.may_write,
        )
        return make_operator_application(context)

    async def _tick(self) -> None:
        ticks = 0
        while True:
            await sleep(TICK_SECONDS)
            ticks += 1
            if self._homes.refresh(self.is_ready):
                self._home.refresh()
            self._home.pump_all()
            self._borrower.hurry()
            if ticks % PROBE_TICKS == 0:
                self._probing = create_task(self._prober.probe(self._own_pools()))

    async def _finish_work(self) -> None:
        logger.info("stopping instance {}", self._settings.instance)
        self._stopping = True
        end = self._clock.monotonic() + self._settings.stop_timeout
        await sleep(LEAVE_NOTICE_SECONDS * self._settings.heartbeat_period)
        await self._jobs.close()
        while self._home.busy and self._clock.monotonic() < end:
            await sleep(STOP_POLL_SECONDS)
