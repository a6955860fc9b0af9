"""Machines that a pool requests for its waiting steps, and those that it offers."""

from collections.abc import Iterable

from jujubebarrow.clocks.clocks import Clock
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.identifiers import PoolId
from jujubebarrow.pools.pool_loads import PoolLoad

REQUEST_WAIT_SECONDS = 2.0
"""Time for which a pool lacks machines before it requests them; about as long as a
move, so that machines on their way to the pool arrive first."""
MEASURE_PERIOD_SECONDS = 0.5
"""Time between two measurements of what a pool lacks, which take longer than a plan."""


class MachineRequests:
    """Tells which machines a pool requests and which labels it offers to other pools.

    Args:
        coordinator: Makes the scheduling decisions of the pool.
        clock: Time source.
    """

    def __init__(self, coordinator: PoolCoordinator, clock: Clock):
        self._demand = coordinator.demand
        self._pool = coordinator.state.pool
        self._clock = clock
        self._measured_at = float("-inf")
        # Time since which workers with each label are lacking.
        self._lacking_since: dict[str, float] = {}
        self._requested: tuple[str, ...] = ()

    def find_requested(self, is_short: bool) -> tuple[str, ...]:
        """Return the label of each machine that steps have waited for.

        Args:
            is_short: Whether the pool's demand exceeds its capacity. It gets machines
                for its demand then, and has no free capacity for these steps.
        """
        if is_short:
            self._lacking_since.clear()
            self._requested = ()
            return ()
        now = self._clock.monotonic()
        if now - self._measured_at < MEASURE_PERIOD_SECONDS:
            return self._requested
        self._measured_at = now
        lacking = self._demand.count_lacking_workers()
        self._lacking_since = {
            label: self._lacking_since.get(label, now) for label in lacking
        }
        self._requested = tuple(
            label
            for label, since in sorted(self._lacking_since.items())
            if now - since >= REQUEST_WAIT_SECONDS
            for _ in range(lacking[label])
        )
        return self._requested

    def find_offered(
        self, loads: dict[PoolId, PoolLoad], movable: Iterable[tuple[str, ...]]
    ) -> tuple[str, ...]:
        """Return the labels that other pools request and that this one can lend.

        Args:
            loads: Load by pool.
            movable: Labels of each machine that can move at once.
        """
        requested = {
            label
            for pool, load in loads.items()
            if load.requested_labels and pool != self._pool
            for label in load.requested_labels
        }
        if not requested:
            return ()
        offered = requested.intersection(label for row in movable for label in row)
        return tuple(sorted(offered - self._demand.find_scarce_labels()))
