"""Orders to workers."""

from dataclasses import dataclass

from jujubebarrow.workloads.identifiers import FenceToken, RunNumber, WorkerId
from jujubebarrow.workloads.task_keys import TaskKey


@dataclass(frozen=True, slots=True, kw_only=True)
class StartOrder:
    """Start a run.

    Attributes:
        worker: Worker.
        address: Its address.
        task: Task.
        run: Number of the run.
        payload: Text of the job.
        deadline: End of the lease on the worker's clock in seconds.
        token: Fencing token of the pool's owner.
        checkpoint: Where to resume; empty for the beginning.
        ticket: Grant of the placement advice; empty if none is needed.
    """

    worker: WorkerId
    address: str
    task: TaskKey
    run: RunNumber
    payload: str
    deadline: float
    token: FenceToken
    checkpoint: str = ""
    ticket: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class StopOrder:
    """Stop a run, also one that has not arrived yet.

    Attributes:
        worker: Worker.
        address: Its address.
        task: Task.
        run: Number of the run.
        token: Fencing token of the pool's owner.
    """

    worker: WorkerId
    address: str
    task: TaskKey
    run: RunNumber
    token: FenceToken


@dataclass(frozen=True, slots=True, kw_only=True)
class PaceOrder:
    """Let a run work at a share of its speed.

    Attributes:
        worker: Worker.
        address: Its address.
        task: Task.
        run: Number of the run.
        percent: Share in percent.
        token: Fencing token of the pool's owner.
    """

    worker: WorkerId
    address: str
    task: TaskKey
    run: RunNumber
    percent: int
    token: FenceToken


@dataclass(frozen=True, slots=True, kw_only=True)
class HoldOrder:
    """Extend the lease of all that runs on a worker, and list runs and ends.

    Attributes:
        worker: Worker.
        address: Its address.
        token: Fencing token of the pool's owner.
        acknowledged: Number of the last end that is on record.
        deadline: End of the lease on the worker's clock in seconds; None while
            that clock is unknown.
        wait: How long in seconds the worker may wait for an end to answer.
    """

    worker: WorkerId
    address: str
    token: FenceToken
    acknowledged: int
    deadline: float | None = None
    wait: float = 0.0
