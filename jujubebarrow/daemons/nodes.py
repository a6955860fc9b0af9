"""One entry instance without its sockets."""

from asyncio import Task, create_task, sleep
from contextlib import AsyncExitStack
from random import Random

from jujubebarrow.callers.authenticators import Authenticator
from jujubebarrow.callers.caller_contexts import CallerContext
from jujubebarrow.clocks.clocks import Clock
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
from jujubebarrow.members.peer_directories import PeerDirectory
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.operators.operator_contexts import OperatorContext
from jujubebarrow.operators.status_readers import StatusReader
from jujubebarrow.peers.identities import PeerIdentity
from jujubebarrow.peers.link_types import LinkFactory
from jujubebarrow.peers.status_messages import PeerStatus, PoolReport
from jujubebarrow.pools.move_planners import MovePlanner
from jujubebarrow.routes.homes import HomeDirectory
from jujubebarrow.runtimes.job_accesses import JobAccess
from jujubebarrow.services.claim_purgers import ClaimPurger
from jujubebarrow.services.claim_stores import ClaimStore
from jujubebarrow.services.commit_batchers import CommitBatcher
from jujubebarrow.services.configuration_services import ConfigurationService
from jujubebarrow.services.control_services import ControlService
from jujubebarrow.services.explanations import ExplanationLog
from jujubebarrow.services.fleet_observers import FleetObserver
from jujubebarrow.services.peer_request_handlers import PeerRequestHandler
from jujubebarrow.services.peer_services import PeerService
from jujubebarrow.services.request_services import RequestService
from jujubebarrow.services.seat_services import SeatService
from jujubebarrow.services.status_reporters import StatusReporter
from jujubebarrow.settings.settings import Settings
from jujubebarrow.stores.stores import Store
from jujubebarrow.upstreams.upstreams import Upstreams

TICK_SECONDS = 0.2
PROBE_TICKS = 3
REPORT_SECONDS = 0.5
"""Age up to which pool reports and usage serve further peers."""
STOP_POLL_SECONDS = 0.05
RECORD_SECONDS = 5.0
LEAVE_NOTICE_PERIODS = 1.5
"""Heartbeat periods in which peers learn that this instance leaves."""


class Node:
    """All roles of one entry instance, over adapters that are passed in.

    Args:
        settings: Checked settings.
        identity: This process.
        clock: Time source.
        random: Source of jitter.
        platform: Store's services.
        upstreams: Upstreams.
        connect: Makes links to peers.
        metrics: Counters and latencies.
    """

    def __init__(
        self,
        settings: Settings,
        identity: PeerIdentity,
        clock: Clock,
        random: Random,
        platform: Store,
        upstreams: Upstreams,
        connect: LinkFactory,
        metrics: MetricsRegistry,
    ):
        self.identity = identity
        self.metrics = metrics
        self._settings = settings
        self._clock = clock
        self._random = random
        self._platform = platform
        self._upstreams = upstreams
        self._connect = connect
        self._stopping = False
        self._reported = float("-inf")
        self._reports: tuple[dict[str, int], dict[str, PoolReport]] = ({}, {})
        self._probing: Task[None] | None = None
        self._build_state()
        self._build_services()
        self._build_peers()
        self._build_control()

    def _build_state(self) -> None:
        settings = self._settings
        self.monitor = InvariantMonitor(self.metrics)
        self._explanations = ExplanationLog(self._clock)
        self.configuration = Configuration(self.metrics, self.monitor)
        self._freshness = FreshnessLease(self._clock, settings.key_freshness)
        self._absences = AbsenceTracker(self._clock, settings.gone_after)
        self._directory = PeerDirectory(self._clock, settings.peer_timeout)
        self.ledger = LimitLedger(
            self.configuration,
            self._clock,
            self.monitor,
            settings.seats,
            settings.clock_error,
            self.identity.incarnation,
        )
        self._homes = HomeDirectory(settings.instance, settings.zone, self._directory)
        self._reporter = StatusReporter(self._describe)

    def _build_services(self) -> None:
        settings = self._settings
        self._batcher = CommitBatcher(
            self._platform, settings.commit_batch, self.metrics
        )
        self.configurations = ConfigurationService(
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
            self.ledger,
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
            self.ledger,
            self._claims,
            self._upstreams,
            self._absences,
            self._directory,
            self._clock,
            settings,
            self.metrics,
            self.monitor,
            self._explanations,
            self.configurations.is_fresh,
        )
        self.authenticator = Authenticator(
            self.configuration, self.configurations.is_fresh
        )

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
            self.configurations,
            self._seats,
            self._home.note_peer,
            self._connect,
        )
        self._borrower = Borrower(
            self.ledger, self._peers, settings, self.metrics, self._home.pump_all
        )
        self._home.set_borrower(self._borrower)
        self.peer_handler = PeerRequestHandler(
            settings.instance,
            settings,
            self.configuration,
            self.ledger,
            self._home,
            self._seats,
            self._reporter,
            self._explanations,
            self._peers.add,
            self._borrower.hurry,
            lambda: self._stopping,
        )
        self.requests = RequestService(
            settings.instance,
            self.configuration,
            self._homes,
            self._home,
            self._peers,
            self._clock,
            settings,
            self.metrics,
            self.monitor,
        )

    def _build_control(self) -> None:
        settings = self._settings
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
            self.configurations,
            FleetPlanner(moves, self.metrics),
            observer,
            self._upstreams,
            ClaimPurger(self._platform, self._clock, self.metrics),
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

    def _peers_departing(self) -> frozenset[str]:
        # A zone that is cut from the platform hears of it from its peers.
        return frozenset(
            name
            for record in self._directory.alive()
            if record.status.platform
            for name in record.status.departing
        )

    @property
    def slots(self) -> int:
        """Slots of upstreams in service in the pools that it is home of."""
        _, reports = self._report_pools()
        return sum(report.slots for report in reports.values())

    def _may_control(self) -> bool:
        return self._seats.may_write and not self._stopping

    def _describe(self) -> PeerStatus:
        settings = self._settings
        age = self.configurations.age
        usage, reports = self._report_pools()
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
            write_pending=self.configurations.write_pending,
            controls=self._control.holds,
            platform=self.configurations.reaches_platform,
            departing=sorted(self._absences.listed_leaving),
            usage=dict(usage),
            pools=dict(reports),
        )

    def _report_pools(self) -> tuple[dict[str, int], dict[str, PoolReport]]:
        """Return usage and reports, not made anew for each peer.

        What vouches for the configuration is never kept.
        """
        now = self._clock.monotonic()
        if now - self._reported >= REPORT_SECONDS:
            self._reported = now
            pools = self._own_pools()
            reports = {pool: self._home.report(pool) for pool in pools}
            self._reports = (self._home.usage(), reports)
        return self._reports

    def _own_pools(self) -> list[str]:
        return [
            pool
            for pool in self.configuration.names(RecordKind.POOL)
            if self._homes.is_home(pool)
        ]

    def _refresh(self) -> None:
        for address in self._seats.addresses().values():
            self._peers.add(address)
        self._homes.refresh(self.is_ready)
        self._home.refresh()

    async def open(self, stack: AsyncExitStack) -> None:
        """Start all services; the stack closes them.

        They close in the opposite order: the seats are released when nothing can
        run any more.
        """
        stack.push_async_callback(self._peers.close)
        stack.push_async_callback(self._seats.release)
        stack.push_async_callback(self._claims.close, RECORD_SECONDS)
        stack.push_async_callback(self._seats.close)
        stack.push_async_callback(self.configurations.close)
        stack.push_async_callback(self._borrower.close)
        stack.push_async_callback(self._control.close)
        self.configurations.open()
        self._seats.open()
        self._peers.open()
        self._control.open()
        ticker = create_task(self._tick())
        stack.callback(ticker.cancel)

    async def finish_work(self) -> None:
        """Take no more work and wait for what runs, up to the stop timeout."""
        self._stopping = True
        end = self._clock.monotonic() + self._settings.stop_timeout
        await sleep(LEAVE_NOTICE_PERIODS * self._settings.heartbeat_period)
        while self._is_busy() and self._clock.monotonic() < end:
            await sleep(STOP_POLL_SECONDS)

    def _is_busy(self) -> bool:
        return bool(self._home.busy or self.requests.active)

    def make_caller_context(self, jobs: JobAccess) -> CallerContext:
        """Return what the callers' handlers need."""
        return CallerContext(
            settings=self._settings,
            clock=self._clock,
            metrics=self.metrics,
            authenticator=self.authenticator,
            requests=self.requests,
            jobs=jobs,
            is_ready=lambda: self.is_ready,
            is_stopping=lambda: self._stopping,
        )

    def make_operator_context(self, jobs: JobAccess) -> OperatorContext:
        """Return what the operators' handlers need."""
        status = StatusReader(
            self.configuration,
            self.configurations,
            self._directory,
            self._reporter,
            self.ledger,
            self._clock,
        )
        return OperatorContext(
            settings=self._settings,
            clock=self._clock,
            metrics=self.metrics,
            configuration=self.configuration,
            configurations=self.configurations,
            status=status,
            peers=self._peers,
            explanations=self._explanations,
            jobs=jobs,
            upstreams=self._upstreams,
            may_write=lambda: self._seats.may_write,
        )

    async def _tick(self) -> None:
        ticks = 0
        while True:
            await sleep(TICK_SECONDS)
            ticks += 1
            members_changed = self._homes.refresh(self.is_ready)
            if (
                self._absences.set_reported_leaving(self._peers_departing())
                or members_changed
            ):
                self._home.refresh()
            self._home.pump_all()
            self._borrower.hurry()
            if ticks % PROBE_TICKS == 0:
                self._probing = create_task(self._prober.probe(self._own_pools()))
