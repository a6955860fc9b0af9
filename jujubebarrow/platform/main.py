"""Entry point of the daemon on the platform."""

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
from jujubebarrow.coordinators.terms import CoordinatorTerms
from jujubebarrow.errors.exceptions import SettingsError
from jujubebarrow.identifiers import IncarnationId
from jujubebarrow.logs.event_logs import EventLog, set_up_event_log
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.platform.advisors import PlatformAdvisor
from jujubebarrow.platform.callers import CallerAnswerer
from jujubebarrow.platform.documents import PlatformDocuments
from jujubebarrow.platform.machines import PlatformMachines
from jujubebarrow.platform.probes import MetricsAnswerer, ReadinessAnswerer
from jujubebarrow.platform.settings_files import (
    DEFAULT_PATH,
    PATH_VARIABLE,
    PlatformSettings,
    load_platform_settings,
)
from jujubebarrow.platform.stores import PlatformStore
from jujubebarrow.platform.workers import PlatformWorkers
from jujubebarrow.runtimes.entry_nodes import EntryNode, EntryTerms
from jujubebarrow.runtimes.fleet_followers import FleetFollower
from jujubebarrow.runtimes.worker_followers import WorkerFollower
from jujubebarrow.stores.relayed_stores import RelayedStore
from jujubebarrow.transports.http_relays import HttpRelayClient, RelayAnswerer
from jujubebarrow.transports.http_servers import AnsweringServer, RequestAnswerer

EXIT_SETTINGS = 2
LEASE_LIMIT = 6.0
"""Longest lease in seconds: a take-over of 3 to 4 s and two lost extensions."""
KEY_MARGIN = 0.6
"""Seconds of the bound on withdrawn keys that are kept for requests under way."""
DISPLACED_HOLD = 2.0
"""Seconds for which an owner without the store goes on extending leases."""
RETENTION_MARGIN = 30.0
"""Seconds added to the time for which an outcome must be shown."""
LEAVING = 2.6
"""Seconds after SIGTERM until the platform has sent no new clients: two probes
of a second each, and the last connections."""
END_MARGIN = 0.6
"""Seconds kept free before SIGKILL."""
BODY_LIMIT = 4 * 1024 * 1024
"""Largest body in bytes that is read to its end, to be refused clearly."""
POLL = 0.05
"""Seconds between two looks at whether requests are under way."""


class PlatformDaemon:
    """One process on the platform.

    Args:
        settings: The platform's settings.
    """

    def __init__(self, settings: PlatformSettings):
        self._settings = settings
        self._clock = BootClock()
        self._metrics = MetricsRegistry()
        self._log = EventLog(self._clock, self._metrics)
        self._stop = Event()

    async def run(self) -> None:
        """Run until SIGTERM, then answer what is under way and end."""
        loop = get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._note_reload)
        settings = self._settings
        async with AsyncExitStack() as stack:
            direct = PlatformStore(settings.store_address, self._metrics)
            stack.callback(direct.close)
            relay = HttpRelayClient()
            stack.callback(relay.close)
            store = RelayedStore(
                direct, relay, SystemRandom(), self._clock, self._log, self._metrics
            )
            workers = PlatformWorkers(self._metrics)
            stack.callback(workers.close)
            machines = PlatformMachines(
                settings.machine_address, settings.instance, self._metrics
            )
            stack.callback(machines.close)
            advisor = PlatformAdvisor(settings.advice_address, self._metrics)
            stack.callback(advisor.close)
            incarnation = IncarnationId(uuid4().hex)
            reader = PlatformDocuments(self._log, self._metrics)
            sources = (store, reader)
            node = EntryNode(
                make_terms(settings, incarnation),
                store,
                FleetFollower(
                    *sources,
                    settings.revoke - KEY_MARGIN,
                    self._clock,
                    self._log,
                    self._metrics,
                ),
                WorkerFollower(*sources, self._clock, self._log, self._metrics),
                reader,
                workers,
                machines,
                advisor,
                self._clock,
                self._log,
                self._metrics,
                store.set_addresses,
            )
            await node.open(stack)
            callers = self._listen(stack, node, direct)
            self._log.write(
                "started", instance=settings.instance, incarnation=incarnation
            )
            gc.collect()
            gc.freeze()
            await self._stop.wait()
            self._log.write("stopping", instance=settings.instance)
            await self._finish(node, callers)
        self._log.write("stopped", instance=settings.instance)

    def _listen(
        self, stack: AsyncExitStack, node: EntryNode, store: PlatformStore
    ) -> AnsweringServer:
        settings, metrics = self._settings, self._metrics
        host = settings.ready_address.rsplit(":", 1)[0]
        addresses: list[tuple[str, RequestAnswerer]] = [
            (settings.inner_address, RelayAnswerer(store, metrics)),
            (settings.ready_address, ReadinessAnswerer(node)),
            (f"{host}:{settings.metrics_port}", MetricsAnswerer(metrics)),
        ]
        for address, answerer in addresses:
            server = AnsweringServer(address, answerer, metrics, BODY_LIMIT)
            stack.push_async_callback(server.close)
        answerer = CallerAnswerer(node, self._clock, self._log, metrics)
        callers = AnsweringServer(
            settings.caller_address, answerer, metrics, BODY_LIMIT
        )
        stack.push_async_callback(callers.close)
        return callers

    def _note_reload(self) -> None:
        self._log.write("reload", detail="addresses are read at the start only")

    async def _finish(self, node: EntryNode, callers: AnsweringServer) -> None:
        began = self._clock.monotonic()
        await node.hand_over()
        last = began + self._settings.grace - END_MARGIN
        while self._clock.monotonic() < last:
            waited = self._clock.monotonic() - began
            if waited > LEAVING and not callers.in_flight:
                return
            await sleep(POLL)


def make_terms(settings: PlatformSettings, incarnation: IncarnationId) -> EntryTerms:
    """Return the product's terms for the platform's settings."""
    lease = min(settings.longest_lease, LEASE_LIMIT)
    return EntryTerms(
        instance=settings.instance,
        incarnation=incarnation,
        address=settings.inner_address,
        coordinator=CoordinatorTerms(
            lease=lease,
            longest_lease=lease,
            displaced_hold=DISPLACED_HOLD,
            stop_grace=settings.stop_grace,
            early_start=settings.early_start / 2,
            retention=settings.retention + RETENTION_MARGIN,
        ),
        downtime=settings.downtime,
        machine_lease=settings.machine_lease,
    )


def main() -> None:
    """Read the settings and run the daemon."""
    path = Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))
    try:
        settings = load_platform_settings(path)
    except SettingsError as error:
        print("\n".join(error.faults), file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    daemon = PlatformDaemon(settings)
    set_up_event_log(daemon._metrics)
    run(daemon.run())


if __name__ == "__main__":
    main()
