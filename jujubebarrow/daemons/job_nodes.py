"""The job core of an entry instance, over the product's own interfaces."""

from contextlib import AsyncExitStack

from jujubebarrow.clocks.boot_clocks import BootClock
from jujubebarrow.coordinators.coordinator_options import CoordinatorOptions
from jujubebarrow.daemons.nodes import Node
from jujubebarrow.gateways.null_advisors import NullAdvisor
from jujubebarrow.gateways.null_machine_controls import NullMachineControl
from jujubebarrow.identifiers import IncarnationId, InstanceId
from jujubebarrow.logs.event_logs import EventLog
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.entry_nodes import EntryNode, EntryOptions
from jujubebarrow.runtimes.job_accesses import JobAccess
from jujubebarrow.runtimes.job_browsers import JobBrowser
from jujubebarrow.runtimes.stored_wave_reporters import StoredWaveReporter
from jujubebarrow.services.configured_fleets import ConfiguredFleet
from jujubebarrow.services.configured_workers import ConfiguredWorkers
from jujubebarrow.settings.settings import Settings
from jujubebarrow.stores.stores import Store
from jujubebarrow.upstreams.http_workers import HttpWorkers

LEASE = 6.0
"""Lease of a task in seconds: a take-over of 3 to 4 s and two lost extensions."""
DISPLACED_HOLD = 2.0
"""Seconds for which an owner without the store goes on extending leases."""
STOP_GRACE = 1.0
"""Longest time in seconds that a worker takes to stop a run."""


class JobNode:
    """Job core of one entry instance.

    Args:
        settings: Checked settings.
        node: Knows the operators' records.
        incarnation: This run of the process.
        store: Store.
        metrics: Counters.
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
            node.configuration, node.configurations, settings.job_attempts
        )
        self._workers = ConfiguredWorkers(node.configuration)
        self._gateway = HttpWorkers(metrics)
        self._entry = EntryNode(
            EntryOptions(
                instance=InstanceId(settings.instance),
                incarnation=IncarnationId(incarnation),
                address="",
                coordinator=CoordinatorOptions(
                    lease=LEASE,
                    longest_lease=LEASE,
                    superseded_renewal=DISPLACED_HOLD,
                    stop_grace=STOP_GRACE,
                    early_start=0.0,
                ),
                downtime=0.0,
                machine_lease=0.0,
            ),
            store,
            fleet,
            self._workers,
            StoredWaveReporter(),
            self._gateway,
            NullMachineControl(),
            NullAdvisor(),
            clock,
            log,
            metrics,
        )
        browser = JobBrowser(store, metrics)
        self.access = JobAccess(self._entry.intake, browser, fleet)

    async def open(self, stack: AsyncExitStack) -> None:
        """Start; everything is stopped with the stack."""
        stack.callback(self._gateway.close)
        await self._entry.open(stack)

    async def hand_over(self) -> None:
        """Let other instances own what this one owned."""
        await self._entry.hand_over()
