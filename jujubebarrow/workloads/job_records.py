"""Stored form of an accepted job, replaced by a compact form after the close."""

from dataclasses import MISSING, dataclass, fields
from typing import Any

import cbor2
from msgspec import convert, to_builtins

from jujubebarrow.identifiers import JobId, PoolId, QueueId, TeamId
from jujubebarrow.workloads.job_phases import JobPhase
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

TASK_LIMIT = 10_000
"""Most tasks of one occurrence of a job."""
OCCURRENCE_LIMIT = 5_000
"""Most occurrences of a job; the stored progress lists the finished ones."""
RESERVED_ROW_SHARE = 0.75
"""Part of the row with a job's progress that may be reserved before any start; the rest
is for tasks that run one after the other."""
OUTCOME_KEY = "outcome"
"""Key of the final phase in the stored form of a closed job."""


@dataclass(frozen=True, slots=True, kw_only=True)
class JobRecord:
    """Job accepted for a pool.

    Attributes:
        job: Id chosen by the caller.
        queue: Queue that the job was submitted to.
        pool: Pool that the queue was routed to at the acceptance.
        team: Team whose key was sent with the job; empty on a queue open to all.
        accepted: Unix time of the acceptance in seconds.
        payload: Text that is passed to the tasks unchanged.
        steps: Steps of the job.
        first_start: Unix time of the first occurrence in seconds; 0 for immediately.
        interval: Time between two occurrences in seconds.
        occurrences: Number of scheduled occurrences; 0 for a single unscheduled one.
        target: Fixed part of the job's objective, in seconds.
        stretch: Factor of the other part of the objective, which is the estimated
            duration of the job's longest chain of steps.
        attempts: Number of failed runs of a task after which the job fails.
        priority: Priority of the queue; 0 is the highest.
        outcome: Final phase of a closed job; None for any other job and for a closed
            job whose record is not compact.
    """

    job: JobId
    queue: QueueId
    pool: PoolId
    team: TeamId
    accepted: float
    payload: str
    steps: tuple[StepSpec, ...]
    first_start: float = 0.0
    interval: float = 0.0
    occurrences: int = 0
    target: float = 0.0
    stretch: float = 1.0
    attempts: int = 1
    priority: int = 0
    outcome: JobPhase | None = None

    @property
    def is_long_running(self) -> bool:
        """Whether a step runs until the job is cancelled."""
        return any(step.long_running for step in self.steps)

    @property
    def task_count(self) -> int:
        """Number of tasks of one occurrence."""
        return sum(step.count for step in self.steps)

    @property
    def reserved_bytes(self) -> int:
        """Bound of what an occurrence adds to the stored progress before any start."""
        return sum(step.reserved_bytes for step in self.steps)

    @property
    def estimated_work(self) -> float:
        """Estimated work of one occurrence in core-seconds."""
        return sum(step.estimated_work for step in self.steps)

    @property
    def estimated_finite_work(self) -> float:
        """Estimated work of the finite steps of one occurrence in core-seconds."""
        return sum(step.estimated_work for step in self.steps if not step.long_running)

    @property
    def objective(self) -> float:
        """Time in seconds from its acceptance in which the job should complete."""
        longest: list[float] = []
        for step in self.steps:
            before = max((longest[number] for number in step.after), default=0.0)
            longest.append(before + step.estimate)
        return self.stretch * max(longest, default=0.0) + self.target

    @property
    def occurrence_count(self) -> int:
        """Number of times that the steps are run."""
        return max(1, self.occurrences)

    def find_size_error(self, row_limit: int) -> str:
        """Return why the job's rows would be too large; empty if they are not.

        Args:
            row_limit: Largest value of a stored row in bytes.
        """
        if self.task_count > TASK_LIMIT:
            return f"{self.task_count} tasks, the limit is {TASK_LIMIT}"
        if self.occurrence_count > OCCURRENCE_LIMIT:
            return f"{self.occurrence_count} runs, the limit is {OCCURRENCE_LIMIT}"
        reserved = self.reserved_bytes
        if self.is_long_running:
            # Its occurrences never end, so that all of them are open in the end.
            reserved *= self.occurrence_count
        if reserved > RESERVED_ROW_SHARE * row_limit:
            return "too many tasks that run together or until they are cancelled"
        if len(cbor2.dumps(self.to_document())) > row_limit:
            return "the payload and the steps are too long"
        return ""

    def earliest_start(self, occurrence: int) -> float:
        """Return the earliest start of an occurrence as a Unix time in seconds."""
        if not self.occurrences:
            return 0.0
        return self.first_start + occurrence * self.interval

    def make_compact(self, outcome: JobPhase) -> "JobRecord":
        """Return the record of the closed job, without its payload.

        The steps are replaced by one step with the same number of tasks and the same
        estimated work, which later decisions about other jobs of the queue depend on.

        Args:
            outcome: Final phase of the job.
        """
        step = StepSpec(
            count=self.task_count,
            needs=Resources(cpu=1000),
            estimate=round(self.estimated_work / max(1, self.task_count), 3),
            long_running=self.is_long_running,
        )
        return JobRecord(
            job=self.job,
            queue=self.queue,
            pool=self.pool,
            team=self.team,
            accepted=self.accepted,
            payload="",
            steps=(step,),
            occurrences=self.occurrences,
            outcome=outcome,
        )

    def to_document(self) -> dict[str, Any]:
        """Return the stored form, without the fields that have their default."""
        document = _omit_defaults(to_builtins(self), _RECORD_DEFAULTS)
        document["steps"] = [
            _omit_defaults(step, _STEP_DEFAULTS) for step in document["steps"]
        ]
        return document

    @classmethod
    def from_document(cls, document: dict[str, Any]) -> "JobRecord":
        """Decode the stored form.

        Raises:
            ValidationError: From msgspec; the document is not a valid job record.
        """
        return convert(document, cls)


def _omit_defaults(
    document: dict[str, Any], defaults: dict[str, Any]
) -> dict[str, Any]:
    return {
        name: value
        for name, value in document.items()
        if name not in defaults or value != defaults[name]
    }


_STEP_DEFAULTS = to_builtins(StepSpec())
_RECORD_DEFAULTS = {
    field.name: field.default
    for field in fields(JobRecord)
    if field.default is not MISSING
}
