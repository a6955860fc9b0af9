"""Job scheduling of an entry instance, connected to the store and HTTP workers."""

from contextlib import AsyncExitStack
from math import inf
from random import SystemRandom

from jujubebarrow.clocks.boot_clocks import BootClock
from jujubebarrow.coordinators.coordinator_options import CoordinatorOptions
from jujubebarrow.daemons.nodes import Node
from jujubebarrow.gateways.null_advisors import NullAdvisor
from jujubebarrow.gateways.null_machine_controls import NullMachineControl
from jujubebarrow.gateways.null_start_relays import NullStartRelay
from jujubebarrow.identifiers import IncarnationId, InstanceId
from jujubebarrow.links.link_backlogs import LinkBacklog
from jujubebarrow.logs.event_logs import EventLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.ownerships.null_peer_probes import NullPeerProbe
from jujubebarrow.runtimes.entry_nodes import EntryNode, EntryOptions
from jujubebarrow.runtimes.job_accesses import JobAccess
from jujubebarrow.runtimes.job_browsers import JobBrowser
from jujubebarrow.runtimes.stored_wave_reporters import StoredWaveReporter
from jujubebarrow.services.configured_fleets import ConfiguredFleet
from jujubebarrow.services.configured_workers import ConfiguredWorkers
from jujubebarrow.settings.settings import Settings
from jujubebarrow.stores.stores import Store
from jujubebarrow.upstreams.http_worker_gateways import HttpWorkerGateway

TASK_LEASE_SECONDS = 6.0
"""Long enough for a takeover, which lasts 3 to 4 s, and two lost lease renewals."""
SUPERSEDED_RENEWAL_SECONDS = 2.0
"""Time for which an owner that cannot reach the store still renews leases after another
instance may have taken over."""
STOP_GRACE_SECONDS = 1.0
"""Longest time that a worker takes to stop a run."""


class JobNode:
    """Job scheduling of one entry instance.

    Args:
        settings: Validated settings of the instance.
        node: Request node of the instance; provides the configuration records.
        incarnation: Id of this process of the instance.
        store: Store for jobs, runs and ownership.
        metrics: Registry of the counters.
    """

    def __init__(
        self,
        settings: Settings,
        node: Node,
        incarnation: str,
        store: Store,
        metrics: MetricsRegistry,
    ):
        clock = BootClock()
        log = EventLog(clock, metrics)
        fleet = ConfiguredFleet(
            node.configuration, node.configuration_service, settings.job_attempts
        )
        self._workers = ConfiguredWorkers(node.configuration)
        self._gateway = HttpWorkerGateway(metrics)
        self._entry = EntryNode(
            EntryOptions(
                instance=InstanceId(settings.instance),
                incarnation=IncarnationId(incarnation),
                address="",
                coordinator_options=CoordinatorOptions(
                    lease=TASK_LEASE_SECONDS,
                    longest_lease=TASK_LEASE_SECONDS,
                    accepted_lease=TASK_LEASE_SECONDS,
                    superseded_renewal=SUPERSEDED_RENEWAL_SECONDS,
                    stop_grace=STOP_GRACE_SECONDS,
                    early_start=0.0,
                ),
                downtime=0.0,
                machine_lease=0.0,
            ),
            store,
            NullPeerProbe(),
            fleet,
            self._workers,
            StoredWaveReporter(),
            self._gateway,
            NullStartRelay(),
            LinkBacklog(inf, clock),
            NullMachineControl(),
            NullAdvisor(),
            clock,
            log,
            metrics,
            SystemRandom(),
        )
        browser = JobBrowser(store, metrics)
        self.job_access = JobAccess(self._entry.intake, browser, fleet)

    async def open(self, stack: AsyncExitStack) -> None:
        """Start the job services; closing the stack stops them."""
        stack.callback(self._gateway.close)
        await self._entry.open(stack)

    async def hand_over(self) -> None:
        """Release all duties of this instance to the other instances."""
        await self._entry.hand_over()
