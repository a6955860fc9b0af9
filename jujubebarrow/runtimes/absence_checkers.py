"""Reads from the list of machines which of a pool's workers have ended."""

from asyncio import sleep
from collections.abc import Callable

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.gateways.machine_controls import MachineControl, MachineControlError
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.metrics.registries import MetricsRegistry

CHECK_PERIOD_SECONDS = 0.2
"""Time between two checks whether a list is needed."""
LIST_PERIOD_SECONDS = 1.0
"""Shortest time between two lists; the platform limits them, and each costs a call."""


class AbsenceChecker:
    """Lists the machines while tasks wait for workers that are not registered.

    Args:
        coordinator: Makes the scheduling decisions of the pool.
        machines: Client for the machine service.
        on_change: Called when a worker turns out to have ended.
        clock: Time source.
        log: Decision log.
        metrics: Registry of the counters.
    """

    def __init__(
        self,
        coordinator: PoolCoordinator,
        machines: MachineControl,
        on_change: Callable[[], None],
        clock: Clock,
        log: DecisionLog,
        metrics: MetricsRegistry,
    ):
        self._absent_workers = coordinator.absent_workers
        self._pool = coordinator.state.pool
        self._machines = machines
        self._on_change = on_change
        self._clock = clock
        self._log = log
        self._metrics = metrics

    async def run(self) -> None:
        """Check until cancelled; return at once if no machines can be listed."""
        while self._machines.is_available:
            is_listed = await self._check()
            await sleep(LIST_PERIOD_SECONDS if is_listed else CHECK_PERIOD_SECONDS)

    async def _check(self) -> bool:
        """List the machines if a worker may have ended; return whether it was tried."""
        requested_at = self._clock.monotonic()
        missing = self._absent_workers.list_missing(requested_at)
        if not missing:
            return False
        try:
            machines = await self._machines.list_machines()
        except MachineControlError as error:
            self._metrics.count("absence_retry", type(error).__name__)
            return True
        listed = {machine.worker for machine in machines if machine.worker}
        if not listed:
            # A list without any worker tells nothing.
            return True
        absent = self._absent_workers.record_list(missing, listed, requested_at)
        if absent:
            self._log.write("workers_absent", pool=self._pool, workers=absent)
            self._on_change()
        return True
