"""What a worker says of itself and of its runs."""

from dataclasses import dataclass
from enum import Enum

from jujubebarrow.identifiers import PoolId, ZoneId
from jujubebarrow.workloads.identifiers import MachineId, RunNumber, WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.run_ends import RunEnd
from jujubebarrow.workloads.task_keys import TaskKey


class WorkerState(Enum):
    """Whether a worker takes new tasks."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerEntry:
    """Registration of a worker in the store.

    Attributes:
        worker: Id of the worker.
        born: Unix time of the worker's start in milliseconds.
        pool: Pool it belongs to.
        address: IP and port of its interface.
        zone: Availability zone.
        state: Whether it takes new tasks.
        capacity: Resources in all.
        labels: Kind and rack.
        remaining: Least time in seconds until a draining worker ends.
        cold: Time in seconds during which it is still slow after its start.
        machine: Machine that it runs on; empty if unknown.
    """

    worker: WorkerId
    born: int
    pool: PoolId
    address: str
    zone: ZoneId
    state: WorkerState
    capacity: Resources
    labels: tuple[str, ...] = ()
    remaining: float = 0.0
    cold: float = 0.0
    machine: MachineId = MachineId("")


@dataclass(frozen=True, slots=True)
class RunningTask:
    """Run in a worker's list.

    Attributes:
        task: Task.
        run: Number of the run.
        checkpoint: Newest checkpoint; empty if there is none.
        percent: Progress, or 100 for a long-running task at work.
        load: For a task with users the tail of its response times in milliseconds,
            for others the processor in use in thousandths of a core.
    """

    task: TaskKey
    run: RunNumber
    checkpoint: str
    percent: int
    load: int


@dataclass(frozen=True, slots=True)
class HoldReport:
    """Answer of a worker to the extension of its lease.

    Attributes:
        born: Unix time of the worker's start in milliseconds.
        clock: Reading of the worker's steady clock in seconds.
        running: What runs.
        ended: Ends that have not been acknowledged, oldest first.
    """

    born: int
    clock: float
    running: tuple[RunningTask, ...]
    ended: tuple[RunEnd, ...]
