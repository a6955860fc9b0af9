"""Accepted job as it is stored; never changed afterwards."""

from dataclasses import dataclass
from typing import Any

from msgspec import convert, to_builtins

from jujubebarrow.identifiers import JobId, PoolId, QueueId, TeamId
from jujubebarrow.workloads.step_specs import StepSpec


@dataclass(frozen=True, slots=True, kw_only=True)
class JobRecord:
    """Job accepted for a pool.

    Attributes:
        job: Id chosen by the caller.
        queue: Queue it was submitted to.
        pool: Pool that the queue was routed to when it was accepted.
        team: Team whose key came with it; empty on a queue open to all.
        accepted: Unix time of the acceptance in seconds.
        payload: Text for the tasks, passed on as it is.
        steps: Steps of the job.
        first_start: Unix time of the first occurrence in seconds; 0 for at once.
        interval: Time between two occurrences in seconds.
        occurrences: Number of occurrences; 0 for one without a time.
        target: Time in seconds that the queue grants on top of the work.
        stretch: Factor of the longest chain of work within the objective.
        attempts: Failed runs of a task after which the job has failed.
        priority: Priority of the queue; 0 comes first.
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

    @property
    def is_long_running(self) -> bool:
        """Whether a step runs until the job is cancelled."""
        return any(step.long_running for step in self.steps)

    @property
    def repetitions(self) -> int:
        """Number of times that the steps run."""
        return max(1, self.occurrences)

    def due(self, occurrence: int) -> float:
        """Return the Unix time from which an occurrence may start, in seconds."""
        if not self.occurrences:
            return 0.0
        return self.first_start + occurrence * self.interval

    def to_document(self) -> dict[str, Any]:
        """Return the stored form, without fields that have their default."""
        document = to_builtins(self)
        document["steps"] = [_strip(step) for step in document["steps"]]
        return document

    @classmethod
    def from_document(cls, document: dict[str, Any]) -> "JobRecord":
        """Read the stored form.

        Raises:
            ValidationError: From msgspec; the row was not written by this program.
        """
        return convert(document, cls)


def _strip(step: dict[str, Any]) -> dict[str, Any]:
    return {name: value for name, value in step.items() if value != _DEFAULTS[name]}


_DEFAULTS = to_builtins(StepSpec())
