"""Wire format of submitted jobs."""

from msgspec import Struct, field

from jujubebarrow.workloads.job_submissions import JobSubmission
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

SPEC_LIMIT_BYTES = 4000
"""Longest text that a job may pass to its tasks."""


class WireStep(Struct, rename="pascal"):
    """Step of a job; callers omit fields that are 0, false or empty."""

    count: int = 1
    # Thousandths of a processor core for each task.
    cpu: int = 0
    mem_mb: int = 0
    gpus: int = 0
    # Approximate duration of one task.
    estimate_ms: float = 0.0
    # Numbers of the steps that must complete first, not a time.
    after: list[int] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    # A single worker label, not a list.
    requirements: str = ""
    data_rack: str = ""
    # Limit on the step's tasks on one worker; 0 means no limit.
    anti_affinity: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    # Longest tail latency that users of a task may see.
    target_ms: float = 0.0
    # The tasks are best-effort: their processor use does not count against the
    # worker's capacity.
    fills: bool = False
    # Tasks that planned actions may make unavailable at a time; 0 means no limit.
    may_miss: int = 0

    def to_step(self) -> StepSpec:
        """Return the step specification."""
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
    """Job as a caller submits it."""

    steps: list[WireStep]
    # Text that is passed to the tasks, not a description of the job.
    spec: str = ""
    # Number of scheduled occurrences; 0 for a single unscheduled one.
    repeat_count: int = 0
    # Unix time of the first occurrence in milliseconds.
    start_at_ms: float = field(default=0.0)
    # Time between two occurrences.
    interval_ms: float = 0.0

    def to_submission(self) -> JobSubmission:
        """Return the job submission."""
        return JobSubmission(
            payload=self.spec,
            steps=tuple(step.to_step() for step in self.steps),
            first_start=self.start_at_ms / 1000,
            interval=self.interval_ms / 1000,
            occurrences=self.repeat_count,
        )
