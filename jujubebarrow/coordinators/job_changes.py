"""Change of a job's progress that has to be written to the store."""

from dataclasses import dataclass, field
from typing import Any

from jujubebarrow.coordinators.active_runs import ActiveRun
from jujubebarrow.coordinators.job_ledgers import JobLedger
from jujubebarrow.workloads.identifiers import WorkerLife


@dataclass(frozen=True, slots=True)
class FinishedRunRef:
    """Reference to an entry in a worker's list of finished runs.

    Attributes:
        life: Worker incarnation that listed the finished run.
        number: Position in the list.
    """

    life: WorkerLife
    number: int


@dataclass(slots=True, eq=False)
class JobChange:
    """New progress of a job and the actions that wait until the progress is stored.

    Attributes:
        ledger: Progress of the job.
        document: Stored form of the progress.
        starts: Runs that may be started once the progress is stored.
        ends: Finished runs that may be acknowledged once the progress is stored.
    """

    ledger: JobLedger
    document: dict[str, Any]
    starts: list[ActiveRun] = field(default_factory=list)
    ends: list[FinishedRunRef] = field(default_factory=list)
