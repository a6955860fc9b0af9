"""What is known of one task."""

from dataclasses import dataclass

from jujubebarrow.coordinators.active_runs import ActiveRun
from jujubebarrow.workloads.identifiers import RunNumber, WorkerId


@dataclass(slots=True, eq=False)
class TaskState:
    """State of a task.

    Attributes:
        is_done: Whether a run has ended as done.
        failures: Runs that have ended as failed.
        last_run: Highest number given to a run.
        checkpoint: Newest checkpoint; empty if there is none.
        active: Run that may be at work.
        avoided_worker: Worker of the last failed run.
        absent_since: Time in seconds since which it has not been at work.
    """

    is_done: bool = False
    failures: int = 0
    last_run: RunNumber = RunNumber(0)
    checkpoint: str = ""
    active: ActiveRun | None = None
    avoided_worker: WorkerId | None = None
    absent_since: float = 0.0
