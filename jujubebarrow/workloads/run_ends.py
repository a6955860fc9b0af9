"""How a run of a task ended."""

from dataclasses import dataclass
from enum import Enum

from jujubebarrow.workloads.identifiers import RunNumber
from jujubebarrow.workloads.task_keys import TaskKey


class RunOutcome(Enum):
    """Reason for the end of a run, as the worker reports it."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lease-expired"
    GANG_BROKEN = "gang-broken"
    GANG_INCOMPLETE = "gang-incomplete"


@dataclass(frozen=True, slots=True)
class RunEnd:
    """End of a run in a worker's list.

    Attributes:
        number: Position in the worker's list; rises from 1 in each life.
        task: Task.
        run: Number of the run.
        outcome: Why it ended.
        checkpoint: Newest checkpoint; empty if there is none.
    """

    number: int
    task: TaskKey
    run: RunNumber
    outcome: RunOutcome
    checkpoint: str
