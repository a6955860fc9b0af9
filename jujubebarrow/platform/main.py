"""Entry point of the daemon that runs an entry instance on the platform."""

import gc
import os
import signal
import sys
from asyncio import Event, get_running_loop, run, sleep
from contextlib import AsyncExitStack
from pathlib import Path
from random import SystemRandom
from uuid import uuid4

from jujubebarrow.clocks.boot_clocks import BootClock
from jujubebarrow.coordinators.coordinator_options import CoordinatorOptions
from jujubebarrow.errors.exceptions import SettingsError
from jujubebarrow.identifiers import IncarnationId
from jujubebarrow.links.link_backlogs import LinkBacklog
from jujubebarrow.links.link_meters import LinkMeter
from jujubebarrow.links.traffic_kinds import TrafficKind
from jujubebarrow.logs.event_logs import EventLog, set_up_event_log
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.ownerships.pool_capacities import compute_pool_capacity
from jujubebarrow.platform.advisors import PlatformAdvisor
from jujubebarrow.platform.callers import CallerHandler
from jujubebarrow.platform.documents import PlatformDocuments
from jujubebarrow.platform.machines import PlatformMachines
from jujubebarrow.platform.probes import PlatformMetricsHandler, ReadinessHandler
from jujubebarrow.platform.settings_files import (
    DEFAULT_PATH,
    PATH_VARIABLE,
    PlatformSettings,
    load_platform_settings,
)
from jujubebarrow.platform.stores import PlatformStore
from jujubebarrow.platform.workers import PlatformWorkers
from jujubebarrow.runtimes.entry_nodes import EntryNode, EntryOptions
from jujubebarrow.runtimes.fleet_watchers import FleetWatcher
from jujubebarrow.runtimes.worker_watchers import WorkerWatcher
from jujubebarrow.stores.read_throttles import ReadThrottle
from jujubebarrow.stores.relay_messages import RELAY_PATH
from jujubebarrow.stores.relay_selectors import RelaySelector
from jujubebarrow.stores.relayed_stores import RelayedStore
from jujubebarrow.stores.stores import Store
from jujubebarrow.transports.http_probes import (
    PROBE_PATH,
    HttpPeerProbe,
    ProbeHandler,
)
from jujubebarrow.transports.http_relays import HttpRelayClient, RelayHandler
from jujubebarrow.transports.http_servers import HttpListener, HttpRequestHandler
from jujubebarrow.transports.http_start_relays import (
    STARTS_PATH,
    HttpStartRelay,
    StartRelayHandler,
)
from jujubebarrow.transports.path_handlers import PathHandler

SETTINGS_ERROR_EXIT_CODE = 2
LEASE_LIMIT_SECONDS = 6.0
"""Longest lease; long enough for a takeover, which lasts 3 to 4 s, and two lost lease
renewals."""
KEY_REVOCATION_MARGIN_SECONDS = 0.6
"""Part of the key revocation delay that is reserved for requests in progress."""
SUPERSEDED_RENEWAL_SECONDS = 2.0
"""Time for which an owner that cannot reach the store still renews leases after another
instance may have taken over."""
ENVELOPE_BYTES = 1000
"""Part of a row that is left for the names and the nonce around a value."""
RETENTION_MARGIN_SECONDS = 30.0
"""Time added to the platform's retention of job outcomes."""
CALLER_DRAIN_SECONDS = 2.6
"""Time after SIGTERM during which the platform may still send new callers: two
readiness probes of one second each, and the time for the last connections."""
EXIT_MARGIN_SECONDS = 0.6
"""Part of the termination grace period that is left unused before SIGKILL."""
BODY_LIMIT_BYTES = 4 * 1024 * 1024
"""Largest request body that the server reads completely. Reading a body that exceeds
the configured limit lets the server refuse the body with an explicit error."""
POLL_INTERVAL_SECONDS = 0.05
"""Interval between two checks for requests in progress."""


class PlatformDaemon:
    """Process of one entry instance on the platform.

    Args:
        settings: Settings read from the platform's settings file.
    """

    def __init__(self, settings: PlatformSettings):
        self._settings = settings
        self._clock = BootClock()
        self._metrics = MetricsRegistry()
        self._log = EventLog(self._clock, self._metrics)
        self._stop = Event()

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then finish requests in progress and return."""
        loop = get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._log_ignored_reload)
        settings = self._settings
        async with AsyncExitStack() as stack:
            backlog = LinkBacklog(settings.link_mbps, self._clock)
            meter = LinkMeter(settings.link_mbps, backlog, self._log, self._metrics)
            meter.open()
            stack.push_async_callback(meter.close)
            throttle = ReadThrottle(settings.link_mbps, self._metrics)
            direct = PlatformStore(
                settings.store_address, throttle, meter, self._metrics
            )
            stack.callback(direct.close)
            relay = HttpRelayClient(meter)
            stack.callback(relay.close)
            store = RelayedStore(
                direct,
                relay,
                throttle,
                SystemRandom(),
                self._clock,
                self._log,
                self._metrics,
            )
            stack.callback(store.close)
            workers = PlatformWorkers(meter, self._metrics)
            stack.callback(workers.close)
            start_relay = HttpStartRelay(
                settings.instance,
                RelaySelector(SystemRandom(), self._clock),
                meter,
                self._metrics,
            )
            stack.callback(start_relay.close)
            machines = PlatformMachines(
                settings.machine_address, settings.instance, self._metrics
            )
            stack.callback(machines.close)
            probe = HttpPeerProbe(meter)
            stack.callback(probe.close)
            advisor = PlatformAdvisor(settings.advice_address, self._metrics)
            stack.callback(advisor.close)

            def set_peers(addresses: list[str]) -> None:
                store.set_peer_addresses(addresses)
                start_relay.set_peer_addresses(addresses)

            incarnation = IncarnationId(uuid4().hex)
            reader = PlatformDocuments(self._log, self._metrics)
            store_and_reader = (store, reader)
            node = EntryNode(
                make_entry_options(settings, incarnation),
                store,
                probe,
                FleetWatcher(
                    *store_and_reader,
                    settings.key_revocation_delay - KEY_REVOCATION_MARGIN_SECONDS,
                    self._clock,
                    self._log,
                    self._metrics,
                ),
                WorkerWatcher(*store_and_reader, self._clock, self._log, self._metrics),
                reader,
                workers,
                start_relay,
                backlog,
                machines,
                advisor,
                self._clock,
                self._log,
                self._metrics,
                SystemRandom(),
                set_peers,
            )
            await node.open(stack)
            caller_listener = self._listen(
                stack, node, incarnation, store.peer_call_store, meter
            )
            self._log.write(
                "started", instance=settings.instance, incarnation=incarnation
            )
            gc.collect()
            gc.freeze()
            await self._stop.wait()
            self._log.write("stopping", instance=settings.instance)
            await self._drain(node, caller_listener)
        self._log.write("stopped", instance=settings.instance)

    def _listen(
        self,
        stack: AsyncExitStack,
        node: EntryNode,
        incarnation: IncarnationId,
        store: Store,
        meter: LinkMeter,
    ) -> HttpListener:
        settings, metrics = self._settings, self._metrics
        host = settings.readiness_address.rsplit(":", 1)[0]
        peer_handler = PathHandler(
            {
                RELAY_PATH: RelayHandler(store, metrics),
                STARTS_PATH: StartRelayHandler(node.start_executor, metrics),
                PROBE_PATH: ProbeHandler(incarnation, lambda: node.fails_to_renew),
            }
        )
        addresses: list[tuple[str, HttpRequestHandler, TrafficKind]] = [
            (settings.peer_address, peer_handler, TrafficKind.PEER),
            (settings.readiness_address, ReadinessHandler(node), TrafficKind.OTHER),
            (
                f"{host}:{settings.metrics_port}",
                PlatformMetricsHandler(metrics),
                TrafficKind.OTHER,
            ),
        ]
        for address, handler, kind in addresses:
            listener = HttpListener(
                address, handler, metrics, BODY_LIMIT_BYTES, meter, kind
            )
            stack.push_async_callback(listener.close)
        handler = CallerHandler(node, self._clock, self._log, metrics)
        caller_listener = HttpListener(
            settings.caller_address,
            handler,
            metrics,
            BODY_LIMIT_BYTES,
            meter,
            TrafficKind.CALLER,
        )
        stack.push_async_callback(caller_listener.close)
        return caller_listener

    def _log_ignored_reload(self) -> None:
        self._log.write("reload", detail="settings are read only at startup")

    async def _drain(self, node: EntryNode, caller_listener: HttpListener) -> None:
        started_at = self._clock.monotonic()
        await node.hand_over()
        deadline = started_at + self._settings.termination_grace - EXIT_MARGIN_SECONDS
        while self._clock.monotonic() < deadline:
            elapsed = self._clock.monotonic() - started_at
            if (
                elapsed > CALLER_DRAIN_SECONDS
                and not caller_listener.active_request_count
            ):
                return
            await sleep(POLL_INTERVAL_SECONDS)


def make_entry_options(
    settings: PlatformSettings, incarnation: IncarnationId
) -> EntryOptions:
    """Return the options of an entry instance for the platform's settings."""
    lease = min(settings.longest_lease, LEASE_LIMIT_SECONDS)
    return EntryOptions(
        instance=settings.instance,
        incarnation=incarnation,
        address=settings.peer_address,
        coordinator_options=CoordinatorOptions(
            lease=lease,
            longest_lease=lease,
            accepted_lease=settings.longest_lease,
            superseded_renewal=SUPERSEDED_RENEWAL_SECONDS,
            stop_grace=settings.stop_grace,
            early_start=settings.early_start / 2,
            retention=settings.retention + RETENTION_MARGIN_SECONDS,
            row_limit=settings.row_limit * 3 // 4 - ENVELOPE_BYTES,
        ),
        downtime=settings.downtime,
        machine_lease=settings.machine_lease,
        zone=settings.zone,
        pool_capacity=compute_pool_capacity(settings.link_mbps, settings.cores),
    )


def main() -> None:
    """Read the settings and run the daemon."""
    path = Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))
    try:
        settings = load_platform_settings(path)
    except SettingsError as error:
        print("\n".join(error.faults), file=sys.stderr)
        sys.exit(SETTINGS_ERROR_EXIT_CODE)
    daemon = PlatformDaemon(settings)
    set_up_event_log(daemon._metrics)
    run(daemon.run())


if __name__ == "__main__":
    main()
