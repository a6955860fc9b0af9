"""Choice of the next machine to drain in a maintenance wave."""

from dataclasses import dataclass

from jujubebarrow.workloads.identifiers import MachineId

BUSY_PROCESSOR_SHARE = 0.55
"""Processor use of a pool above which a wave that is not urgent drains no machine."""
URGENT_FACTOR = 1.6
"""A wave is urgent if less than this multiple of the needed time remains."""
DRAIN_SECONDS = 2.5
"""Typical time until all tasks of a draining machine have finished or moved."""


@dataclass(frozen=True, slots=True)
class MachineLoad:
    """Load of a machine that waits for maintenance.

    Attributes:
        machine: Id of the machine.
        used: Share of the machine's processor in use.
        long_running: Number of long-running tasks on the machine, which a drain
            has to move.
    """

    machine: MachineId
    used: float
    long_running: int


def is_wave_urgent(
    waiting: int, most_at_once: int, remaining: float, downtime: float
) -> bool:
    """Return whether a wave can no longer wait until its pools are less busy.

    Args:
        waiting: Number of machines whose maintenance has not begun.
        most_at_once: Largest number of machines under maintenance at a time.
        remaining: Time in seconds until the maintenance of every machine must have
            begun.
        downtime: Time in seconds for which a machine is down.
    """
    rounds = -(-waiting // max(1, most_at_once))
    needed_seconds = rounds * (DRAIN_SECONDS + downtime)
    return remaining < URGENT_FACTOR * needed_seconds


def choose_machine(
    candidates: list[MachineLoad],
    pool_used: float,
    draining: int,
    pool_size: int,
    is_urgent: bool,
) -> MachineId | None:
    """Return the machine to drain next, or None if none may be drained now.

    Args:
        candidates: Load of the pool's machines that wait for maintenance.
        pool_used: Share of the pool's processor capacity in use.
        draining: Number of the pool's machines that are draining or down.
        pool_size: Number of the pool's machines.
        is_urgent: Whether the wave can no longer wait until the pool is less busy.
    """
    if not candidates:
        return None
    if not is_urgent and pool_used > BUSY_PROCESSOR_SHARE:
        return None
    draining_limit = max(1, pool_size // 3)
    if draining >= draining_limit and not is_urgent:
        return None
    choice = min(candidates, key=lambda load: (load.long_running, load.used))
    return choice.machine
