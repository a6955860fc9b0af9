"""Orders that a pool's owner sends to workers."""

from dataclasses import dataclass

from jujubebarrow.workloads.identifiers import FenceToken, RunNumber, WorkerId
from jujubebarrow.workloads.task_keys import TaskKey


@dataclass(frozen=True, slots=True, kw_only=True)
class StartOrder:
    """Order to start a run.

    Attributes:
        worker: Id of the worker that receives the order.
        address: IP and port of the worker's interface.
        task: Task that the run executes.
        run: Number of the run.
        payload: Text that the caller submitted with the job.
        deadline: End of the lease in seconds on the worker's clock.
        token: Fencing token of the pool's owner.
        checkpoint: Checkpoint to resume from; empty to start from the beginning.
        ticket: Grant of the placement advice; empty if the queue needs no advice.
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
    """Order to stop a run, even if its start has not reached the worker yet.

    Attributes:
        worker: Id of the worker that receives the order.
        address: IP and port of the worker's interface.
        task: Task that the run executes.
        run: Number of the run.
        token: Fencing token of the pool's owner.
    """

    worker: WorkerId
    address: str
    task: TaskKey
    run: RunNumber
    token: FenceToken


@dataclass(frozen=True, slots=True, kw_only=True)
class ThrottleOrder:
    """Order to throttle a run to a percentage of its full speed.

    Attributes:
        worker: Id of the worker that receives the order.
        address: IP and port of the worker's interface.
        task: Task that the run executes.
        run: Number of the run.
        percent: Speed in percent of full speed.
        token: Fencing token of the pool's owner.
    """

    worker: WorkerId
    address: str
    task: TaskKey
    run: RunNumber
    percent: int
    token: FenceToken


@dataclass(frozen=True, slots=True, kw_only=True)
class RenewalOrder:
    """Order to renew a worker's lease and to list its running and finished runs.

    Attributes:
        worker: Id of the worker that receives the order.
        address: IP and port of the worker's interface.
        token: Fencing token of the pool's owner.
        acknowledged: Position of the last finished run that is stored.
        deadline: New end of the lease in seconds on the worker's clock; None if the
            lease is not renewed, for instance while that clock is unknown.
        wait: Seconds for which the worker may delay its response until a run finishes.
    """

    worker: WorkerId
    address: str
    token: FenceToken
    acknowledged: int
    deadline: float | None = None
    wait: float = 0.0
