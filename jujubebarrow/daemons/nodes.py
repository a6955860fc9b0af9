"""Services of one entry instance, without its server sockets."""

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
from jujubebarrow.upstreams.upstream_clients import UpstreamClient

TICK_PERIOD_SECONDS = 0.2
PROBE_TICK_COUNT = 3
"""Ticks between two runs of the prober."""
REPORT_CACHE_SECONDS = 0.5
"""Age up to which cached pool reports and usage are sent to further peers."""
STOP_POLL_SECONDS = 0.05
OUTCOME_WRITE_TIMEOUT_SECONDS = 5.0
"""Time that a stopping instance waits for request outcomes to be stored."""
LEAVE_NOTICE_FACTOR = 1.5
"""Heartbeat periods that a stopping instance waits, so that every peer receives a
heartbeat reply that marks the instance as leaving."""


class Node:
    """Entry instance whose clock, store, upstreams and peer links are passed in.

    Args:
        settings: Validated settings of the instance.
        identity: Instance, incarnation and zone of this process.
        clock: Time source.
        random: Random source for jitter.
        platform: Client of the platform's store.
        upstreams: Client that sends tasks, probes and commands to upstreams.
        connect: Opens a link to the peer at an address.
        metrics: Registry of the counters and latencies.
    """

    def __init__(
        self,
        settings: Settings,
        identity: PeerIdentity,
        clock: Clock,
        random: Random,
        platform: Store,
        upstreams: UpstreamClient,
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
        self._is_stopping = False
        self._reports_made_at = float("-inf")
        self._cached_reports: tuple[dict[str, int], dict[str, PoolReport]] = ({}, {})
        self._probe_task: Task[None] | None = None
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
        self._peer_directory = PeerDirectory(self._clock, settings.peer_timeout)
        self.ledger = LimitLedger(
            self.configuration,
            self._clock,
            self.monitor,
            settings.seats,
            settings.clock_error,
            self.identity.incarnation,
        )
        self._home_directory = HomeDirectory(
            settings.instance, settings.zone, self._peer_directory
        )
        self._status_reporter = StatusReporter(self._make_status)

    def _build_services(self) -> None:
        settings = self._settings
        self._commit_batcher = CommitBatcher(
            self._platform, settings.commit_batch, self.metrics
        )
        self.configuration_service = ConfigurationService(
            self.configuration,
            self._freshness,
            self._platform,
            self._clock,
            self._random,
            settings,
            self.metrics,
            self._explanations,
            self._refresh_homes,
        )
        self._seat_service = SeatService(
            self.identity,
            self._platform,
            self.ledger,
            self._freshness,
            self._absences,
            self._clock,
            settings,
            self.metrics,
            self._refresh_homes,
            self._list_ready_peers,
        )
        self._claim_store = ClaimStore(
            self._platform,
            self._commit_batcher,
            self.identity,
            self._clock,
            self._random,
            self.metrics,
            self._seat_service.has_ended,
        )
        self._home_service = HomeService(
            self.identity.incarnation,
            settings.zone,
            self.configuration,
            self.ledger,
            self._claim_store,
            self._upstreams,
            self._absences,
            self._peer_directory,
            self._clock,
            settings,
            self.metrics,
            self.monitor,
            self._explanations,
            self.configuration_service.is_fresh,
        )
        self.authenticator = Authenticator(
            self.configuration, self.configuration_service.is_fresh
        )

    def _build_peers(self) -> None:
        settings = self._settings
        self._peer_service = PeerService(
            self.identity,
            settings,
            self.metrics,
            self._clock,
            self._random,
            self._peer_directory,
            self.configuration,
            self._freshness,
            self.configuration_service,
            self._seat_service,
            self._home_service.record_peer_usage,
            self._connect,
        )
        self._borrower = Borrower(
            self.ledger,
            self._peer_service,
            settings,
            self.metrics,
            self._home_service.start_all_waiting,
        )
        self._home_service.set_borrower(self._borrower)
        self.peer_handler = PeerRequestHandler(
            settings.instance,
            settings,
            self.configuration,
            self.ledger,
            self._home_service,
            self._seat_service,
            self._status_reporter,
            self._explanations,
            self._peer_service.add_link,
            self._borrower.return_idle,
            lambda: self._is_stopping,
        )
        self.requests = RequestService(
            settings.instance,
            self.configuration,
            self._home_directory,
            self._home_service,
            self._peer_service,
            self._clock,
            settings,
            self.metrics,
            self.monitor,
        )

    def _build_control(self) -> None:
        settings = self._settings
        move_planner = MovePlanner(settings.move_hold, settings.move_wait)
        observer = FleetObserver(
            self.configuration,
            self._peer_directory,
            self._status_reporter,
            self._absences,
            self._upstreams,
        )
        self._control_service = ControlService(
            self.identity,
            self._platform,
            self.configuration,
            self.configuration_service,
            FleetPlanner(move_planner, self.metrics),
            observer,
            self._upstreams,
            ClaimPurger(self._platform, self._clock, self.metrics),
            self._clock,
            settings,
            self.metrics,
            self._can_control,
        )
        self._prober = Prober(
            self._home_service, self._upstreams, self._clock, settings, self.metrics
        )

    @property
    def is_ready(self) -> bool:
        """Whether this instance has a configuration and accepts requests."""
        return self.configuration.revision > 0 and not self._is_stopping

    def _list_ready_peers(self) -> frozenset[str]:
        return frozenset(
            record.status.instance
            for record in self._peer_directory.responsive_records()
            if record.status.ready and not record.status.leaving
        )

    def _list_leaving_instances(self) -> frozenset[str]:
        # An instance that cannot reach the platform gets the leaving instances from
        # the peers that can reach the platform.
        return frozenset(
            name
            for record in self._peer_directory.responsive_records()
            if record.status.platform
            for name in record.status.departing
        )

    @property
    def home_slot_count(self) -> int:
        """Number of in-service upstream slots in pools whose home is this instance."""
        _, reports = self._report_pools()
        return sum(report.slots for report in reports.values())

    def _can_control(self) -> bool:
        return self._seat_service.can_write and not self._is_stopping

    def _make_status(self) -> PeerStatus:
        settings = self._settings
        age = self.configuration_service.age
        usage, reports = self._report_pools()
        return PeerStatus(
            instance=settings.instance,
            incarnation=self.identity.incarnation,
            zone=settings.zone,
            address=self._peer_service.address,
            seat=self._seat_service.seat_number,
            ready=self.is_ready,
            leaving=self._is_stopping,
            revision=self.configuration.revision,
            age=None if age == float("inf") else age,
            write_pending=self.configuration_service.has_pending_write,
            controls=self._control_service.is_lease_holder,
            platform=self.configuration_service.is_platform_reachable,
            departing=sorted(self._absences.listed_leaving),
            usage=dict(usage),
            pools=dict(reports),
        )

    def _report_pools(self) -> tuple[dict[str, int], dict[str, PoolReport]]:
        """Return usage and pool reports from a short-lived cache shared by all peers.

        The configuration's revision and age, and whether a write is pending, are not
        cached: peers use them to verify that their own configuration is fresh.
        """
        now = self._clock.monotonic()
        if now - self._reports_made_at >= REPORT_CACHE_SECONDS:
            self._reports_made_at = now
            pools = self._list_home_pools()
            reports = {
                pool: self._home_service.make_pool_report(pool) for pool in pools
            }
            self._cached_reports = (self._home_service.usage(), reports)
        return self._cached_reports

    def _list_home_pools(self) -> list[str]:
        return [
            pool
            for pool in self.configuration.list_names(RecordKind.POOL)
            if self._home_directory.is_home(pool)
        ]

    def _refresh_homes(self) -> None:
        for address in self._seat_service.list_holder_addresses().values():
            self._peer_service.add_link(address)
        self._home_directory.refresh(self.is_ready)
        self._home_service.refresh()

    async def open(self, stack: AsyncExitStack) -> None:
        """Start all services; closing the stack stops them.

        The stack closes in reverse order: seats are released only after all services
        that could start work are closed.
        """
        stack.push_async_callback(self._peer_service.close)
        stack.push_async_callback(self._seat_service.release)
        stack.push_async_callback(
            self._claim_store.close, OUTCOME_WRITE_TIMEOUT_SECONDS
        )
        stack.push_async_callback(self._seat_service.close)
        stack.push_async_callback(self.configuration_service.close)
        stack.push_async_callback(self._borrower.close)
        stack.push_async_callback(self._control_service.close)
        self.configuration_service.open()
        self._seat_service.open()
        self._peer_service.open()
        self._control_service.open()
        tick_task = create_task(self._run_ticks())
        stack.callback(tick_task.cancel)

    async def finish_work(self) -> None:
        """Refuse new requests; wait up to the stop timeout for requests in progress."""
        self._is_stopping = True
        deadline = self._clock.monotonic() + self._settings.stop_timeout
        await sleep(LEAVE_NOTICE_FACTOR * self._settings.heartbeat_period)
        while self._is_busy() and self._clock.monotonic() < deadline:
            await sleep(STOP_POLL_SECONDS)

    def _is_busy(self) -> bool:
        return bool(self._home_service.unfinished_count or self.requests.active_count)

    def make_caller_context(self, jobs: JobAccess) -> CallerContext:
        """Return the services that the callers' web handlers use."""
        return CallerContext(
            settings=self._settings,
            clock=self._clock,
            metrics=self.metrics,
            authenticator=self.authenticator,
            requests=self.requests,
            jobs=jobs,
            is_ready=lambda: self.is_ready,
            is_stopping=lambda: self._is_stopping,
        )

    def make_operator_context(self, jobs: JobAccess) -> OperatorContext:
        """Return the services that the operators' web handlers use."""
        status_reader = StatusReader(
            self.configuration,
            self.configuration_service,
            self._peer_directory,
            self._status_reporter,
            self.ledger,
            self._clock,
        )
        return OperatorContext(
            settings=self._settings,
            clock=self._clock,
            metrics=self.metrics,
            configuration=self.configuration,
            configuration_service=self.configuration_service,
            status_reader=status_reader,
            peers=self._peer_service,
            explanations=self._explanations,
            jobs=jobs,
            upstreams=self._upstreams,
            can_write=lambda: self._seat_service.can_write,
        )

    async def _run_ticks(self) -> None:
        tick_count = 0
        while True:
            await sleep(TICK_PERIOD_SECONDS)
            tick_count += 1
            members_changed = self._home_directory.refresh(self.is_ready)
            if (
                self._absences.set_reported_leaving(self._list_leaving_instances())
                or members_changed
            ):
                self._home_service.refresh()
            self._home_service.start_all_waiting()
            self._borrower.return_idle()
            if tick_count % PROBE_TICK_COUNT == 0:
                self._probe_task = create_task(
                    self._prober.probe(self._list_home_pools())
                )
