"""Change of a job's progress that has to be written to the store."""

from dataclasses import dataclass, field
from typing import Any

from jujubebarrow.coordinators.active_runs import ActiveRun
from jujubebarrow.coordinators.job_progresses import (
    PHASE_KEY,
    TASKS_KEY,
    JobProgress,
)
from jujubebarrow.workloads.identifiers import WorkerIncarnation
from jujubebarrow.workloads.job_phases import JobPhase


@dataclass(frozen=True, slots=True)
class FinishedRunRef:
    """Reference to an entry in a worker's list of finished runs.

    Attributes:
        incarnation: Worker incarnation that listed the finished run.
        number: Position in the list.
    """

    incarnation: WorkerIncarnation
    number: int


@dataclass(slots=True, eq=False)
class JobChange:
    """New progress of a job and the actions that wait until the progress is stored.

    Attributes:
        progress: Progress of the job.
        document: Stored form of the progress.
        runs_to_start: Runs that may be started once the progress is stored.
        finished_runs: Finished runs that may be acknowledged once the progress is
            stored.
    """

    progress: JobProgress
    document: dict[str, Any]
    runs_to_start: list[ActiveRun] = field(default_factory=list)
    finished_runs: list[FinishedRunRef] = field(default_factory=list)

    @property
    def outcome(self) -> JobPhase | None:
        """Final phase of the job, or None while the job is open or has active runs."""
        phase = JobPhase(self.document[PHASE_KEY])
        return phase if phase.is_final and TASKS_KEY not in self.document else None
