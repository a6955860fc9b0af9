"""Choice of the next machine to drain in a maintenance wave."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from jujubebarrow.workloads.identifiers import MachineId, StepKey

BUSY_CPU_USAGE_RATIO = 0.55
"""Processor usage of a pool above which a wave that is not urgent drains no machine."""
URGENT_FACTOR = 1.6
"""A wave is urgent if less than this multiple of the needed time remains."""
DRAIN_GRACE_SECONDS = 4.0
"""Time that tasks, except long-running ones, have to finish by themselves on a machine
that is drained for maintenance; those that still run are then stopped."""
DRAIN_SECONDS = 2.5
"""Typical time until all tasks of a draining machine have finished or moved."""


@dataclass(frozen=True, slots=True)
class MachineLoad:
    """Load of a machine that waits for maintenance.

    Attributes:
        machine: Id of the machine.
        cpu_usage_ratio: Share of the machine's processor in use.
        long_running_count: Number of long-running tasks on the machine, which a drain
            has to move.
        tolerated_absences: For each long-running step with a task on the machine that
            limits its absent tasks, that limit.
        absences: For each of these steps, the number of its absent tasks.
    """

    machine: MachineId
    cpu_usage_ratio: float
    long_running_count: int
    tolerated_absences: Mapping[StepKey, int] = field(default_factory=dict)
    absences: Mapping[StepKey, int] = field(default_factory=dict)


def is_wave_urgent(
    waiting_count: int, max_concurrent: int, remaining: float, downtime: float
) -> bool:
    """Return whether a wave can no longer wait until its pools are less busy.

    Args:
        waiting_count: Number of machines whose maintenance has not begun.
        max_concurrent: Maximum number of machines in maintenance at the same time.
        remaining: Time in seconds until the maintenance of every machine must have
            begun.
        downtime: Time in seconds for which a machine is down.
    """
    rounds = -(-waiting_count // max(1, max_concurrent))
    needed_seconds = rounds * (DRAIN_SECONDS + downtime)
    return remaining < URGENT_FACTOR * needed_seconds


def choose_machine(
    candidates: list[MachineLoad],
    pool_cpu_usage_ratio: float,
    in_maintenance_count: int,
    pool_size: int,
    is_urgent: bool,
) -> MachineId | None:
    """Return the machine to drain next, or None if none may be drained now.

    Args:
        candidates: Load of the pool's machines that wait for maintenance.
        pool_cpu_usage_ratio: Share of the pool's processor capacity in use.
        in_maintenance_count: Number of the pool's machines that are draining or down.
        pool_size: Number of the pool's machines.
        is_urgent: Whether the wave can no longer wait until the pool is less busy.
    """
    if not candidates:
        return None
    if not is_urgent and pool_cpu_usage_ratio > BUSY_CPU_USAGE_RATIO:
        return None
    concurrency_limit = max(1, pool_size // 3)
    if in_maintenance_count >= concurrency_limit and not is_urgent:
        return None
    choice = min(
        candidates, key=lambda load: (load.long_running_count, load.cpu_usage_ratio)
    )
    return choice.machine
