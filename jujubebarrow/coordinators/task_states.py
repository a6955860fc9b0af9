"""State of one task."""

from dataclasses import dataclass

from jujubebarrow.coordinators.active_runs import ActiveRun
from jujubebarrow.workloads.identifiers import RunNumber, WorkerId


@dataclass(slots=True, eq=False)
class TaskState:
    """Runs and outcome of a task.

    Attributes:
        is_done: Whether a run has succeeded.
        failures: Number of failed runs.
        last_run: Number of the latest run; 0 before the first run.
        checkpoint: Newest checkpoint; empty if there is none.
        active: Run that may still be executing.
        avoided_worker: Worker of the last failed or stalled run; ranks below other
            workers for the next run.
        absent_since: Time in seconds at which the last run was released; 0 before that.
    """

    is_done: bool = False
    failures: int = 0
    last_run: RunNumber = RunNumber(0)
    checkpoint: str = ""
    active: ActiveRun | None = None
    avoided_worker: WorkerId | None = None
    absent_since: float = 0.0
