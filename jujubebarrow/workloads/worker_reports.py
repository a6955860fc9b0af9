"""Registrations of workers and their reports about runs."""

from dataclasses import dataclass
from enum import Enum

from jujubebarrow.identifiers import PoolId, ZoneId
from jujubebarrow.workloads.finished_runs import FinishedRun
from jujubebarrow.workloads.identifiers import MachineId, RunNumber, WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.task_keys import TaskKey


class WorkerState(Enum):
    """Whether a worker accepts new tasks."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerEntry:
    """Registration of a worker in the store.

    Attributes:
        worker: Id of the worker.
        started_at_ms: Start time of the worker in Unix milliseconds; 0 if unknown.
        pool: Pool that the worker belongs to.
        address: IP and port of the worker's interface.
        zone: Availability zone of the worker.
        state: Whether the worker accepts new tasks.
        capacity: Total resources of the worker.
        labels: Labels of the worker, such as its kind and its rack.
        remaining: Minimum time in seconds until a draining worker shuts down.
        warm_up: Remaining time in seconds during which the worker is still slow after
            its start.
        machine: Machine that the worker runs on; empty if unknown.
    """

    worker: WorkerId
    started_at_ms: int
    pool: PoolId
    address: str
    zone: ZoneId
    state: WorkerState
    capacity: Resources
    labels: tuple[str, ...] = ()
    remaining: float = 0.0
    warm_up: float = 0.0
    machine: MachineId = MachineId("")


@dataclass(frozen=True, slots=True)
class RunningTask:
    """Unfinished run in a worker's list.

    Attributes:
        task: Task that the run belongs to.
        run: Number of the run.
        checkpoint: Newest checkpoint of the task; empty if none exists.
        percent: Progress in percent; 100 for a long-running task that is operating.
        load: Tail latency in milliseconds for a task that serves users; for other
            tasks the processor capacity in use, in thousandths of a core.
    """

    task: TaskKey
    run: RunNumber
    checkpoint: str
    percent: int
    load: int


@dataclass(frozen=True, slots=True)
class RenewalReport:
    """Worker's response to the renewal of its lease.

    Attributes:
        born: Start time of the worker in Unix milliseconds.
        clock: Reading of the worker's monotonic clock in seconds.
        running: Unfinished runs.
        ended: Finished runs that have not been acknowledged, oldest first.
        lists_all_ends: Whether there are no further finished runs, which the worker
            lists once these are acknowledged.
        has_open_copy: Whether the client sent the renewal twice, so that the worker may
            still execute the first copy.
    """

    born: int
    clock: float
    running: tuple[RunningTask, ...]
    ended: tuple[FinishedRun, ...]
    lists_all_ends: bool = True
    has_open_copy: bool = False
