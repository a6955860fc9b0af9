"""Finished runs of tasks and their outcomes."""

from dataclasses import dataclass
from enum import Enum

from jujubebarrow.workloads.identifiers import RunNumber
from jujubebarrow.workloads.task_keys import TaskKey


class RunOutcome(Enum):
    """Reason for the end of a run, as reported by the worker."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lease-expired"
    GANG_BROKEN = "gang-broken"
    GANG_INCOMPLETE = "gang-incomplete"


@dataclass(frozen=True, slots=True)
class FinishedRun:
    """Finished run in a worker's list.

    Attributes:
        number: Position in the worker's list; counts up from 1 in each incarnation.
        task: Task that the run belonged to.
        run: Number of the run.
        outcome: Reason for the end of the run.
        checkpoint: Newest checkpoint of the task; empty if none exists.
    """

    number: int
    task: TaskKey
    run: RunNumber
    outcome: RunOutcome
    checkpoint: str
