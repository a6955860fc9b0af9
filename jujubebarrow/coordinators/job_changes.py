"""Change of one job's progress on its way to the store."""

from dataclasses import dataclass, field
from typing import Any

from jujubebarrow.coordinators.active_runs import ActiveRun
from jujubebarrow.coordinators.job_ledgers import JobLedger
from jujubebarrow.workloads.identifiers import WorkerLife


@dataclass(frozen=True, slots=True)
class FinishedRunRef:
    """End in a worker's list that a change puts on record.

    Attributes:
        life: Worker's life.
        number: Position in its list.
    """

    life: WorkerLife
    number: int


@dataclass(slots=True, eq=False)
class JobChange:
    """New progress of a job, and what may follow once it is stored.

    Attributes:
        ledger: Job.
        document: Stored form of its progress.
        starts: Runs that may be started once it is stored.
        ends: Ends that may be acknowledged once it is stored.
    """

    ledger: JobLedger
    document: dict[str, Any]
    starts: list[ActiveRun] = field(default_factory=list)
    ends: list[FinishedRunRef] = field(default_factory=list)
