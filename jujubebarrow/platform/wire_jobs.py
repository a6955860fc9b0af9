"""Jobs on the wire."""

from msgspec import Struct, field

from jujubebarrow.workloads.job_submissions import JobSubmission
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

SPEC_LIMIT = 4000
"""Longest text for the tasks in bytes."""


class WireStep(Struct, rename="pascal"):
    """A step; fields of value 0, false or empty are left out."""

    count: int = 1
    # Thousandths of a core for one task.
    cpu: int = 0
    mem_mb: int = 0
    gpus: int = 0
    # Rough estimate of one task's duration.
    estimate_ms: float = 0.0
    # Numbers of earlier steps, not a time.
    after: list[int] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    # One label, not a list.
    requirements: str = ""
    data_rack: str = ""
    # Most tasks of the step on one worker.
    anti_affinity: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    # Longest tail latency of the tasks' own users.
    target_ms: float = 0.0
    # The processor is not counted against the worker.
    fills: bool = False
    # Tasks that may be away at a time because of planned actions.
    may_miss: int = 0

    def to_step(self) -> StepSpec:
        """Return the project's type."""
        return StepSpec(
            count=self.count,
            needs=Resources(self.cpu, self.mem_mb, self.gpus),
            estimate=self.estimate_ms / 1000,
            after=tuple(self.after),
            gang=self.gang,
            same_rack=self.same_rack,
            label=self.requirements,
            data_rack=self.data_rack,
            most_per_worker=self.anti_affinity,
            checkpoints=self.checkpointing,
            speculative=self.speculative,
            long_running=self.long_running,
            image=self.image,
            target_latency=self.target_ms / 1000,
            uses_leftovers=self.fills,
            tolerated_absences=self.may_miss,
        )


class WireJob(Struct, rename="pascal"):
    """A job as a client submits it."""

    steps: list[WireStep]
    # Text passed on to the tasks, not a description of the job.
    spec: str = ""
    repeat_count: int = 0
    # Unix time.
    start_at_ms: float = field(default=0.0)
    interval_ms: float = 0.0

    def to_submission(self) -> JobSubmission:
        """Return the project's type."""
        return JobSubmission(
            payload=self.spec,
            steps=tuple(step.to_step() for step in self.steps),
            first_start=self.start_at_ms / 1000,
            interval=self.interval_ms / 1000,
            occurrences=self.repeat_count,
        )
