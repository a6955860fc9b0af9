"""Which machine of a pool goes next, and when."""

from dataclasses import dataclass

from jujubebarrow.workloads.identifiers import MachineId

BUSY_SHARE = 0.55
"""Share of a pool's processor in use above which its maintenance waits."""
HURRY_FACTOR = 1.6
"""Times the time that the rest needs at which a wave no longer waits for calm."""
DRAIN_SECONDS = 2.5
"""Usual time in seconds until a machine's tasks have ended or moved."""


@dataclass(frozen=True, slots=True)
class MachineLoad:
    """A machine that could be maintained next.

    Attributes:
        machine: Machine.
        used: Share of its processor in use.
        long_running: Long-running tasks on it, which have to move.
    """

    machine: MachineId
    used: float
    long_running: int


def must_hurry(
    waiting: int, most_at_once: int, remaining: float, downtime: float
) -> bool:
    """Return whether a wave has no time to wait for calm pools.

    Args:
        waiting: Machines that have not begun.
        most_at_once: Most machines down at a time.
        remaining: Time in seconds until all must have begun.
        downtime: Time in seconds that a machine is down.
    """
    rounds = -(-waiting // max(1, most_at_once))
    needed = rounds * (DRAIN_SECONDS + downtime)
    return remaining < HURRY_FACTOR * needed


def choose_machine(
    candidates: list[MachineLoad],
    pool_used: float,
    draining: int,
    pool_size: int,
    hurry: bool,
) -> MachineId | None:
    """Return the machine to drain next, or None to wait.

    Args:
        candidates: Machines of the pool that wait for maintenance.
        pool_used: Share of the pool's processor in use.
        draining: Machines of the pool that are being drained or are down.
        pool_size: Machines of the pool.
        hurry: There is no time to wait for a calm pool.
    """
    if not candidates:
        return None
    if not hurry and pool_used > BUSY_SHARE:
        return None
    most = max(1, pool_size // 3)
    if draining >= most and not hurry:
        return None
    best = min(candidates, key=lambda load: (load.long_running, load.used))
    return best.machine
