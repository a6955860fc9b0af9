"""Job as submitted by a caller."""

from dataclasses import dataclass

from jujubebarrow.workloads.step_specs import StepSpec


@dataclass(frozen=True, slots=True, kw_only=True)
class JobSubmission:
    """A caller's description of a job.

    Attributes:
        payload: Text that is passed to the tasks unchanged.
        steps: Steps of the job.
        first_start: Unix time of the first occurrence in seconds.
        interval: Time between two occurrences in seconds.
        occurrences: Number of scheduled occurrences; 0 for a single unscheduled one.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    first_start: float = 0.0
    interval: float = 0.0
    occurrences: int = 0

    def find_error(self) -> str:
        """Return a description of the first invalid value; empty if all are valid."""
        if not self.steps:
            return "a job needs a step"
        for number, step in enumerate(self.steps):
            if step.count < 1:
                return f"step {number}: needs a task"
            if min(step.needs) < 0 or step.most_per_worker < 0:
                return f"step {number}: negative amount"
            if any(earlier >= number or earlier < 0 for earlier in step.after):
                return f"step {number}: may only come after earlier steps"
        if self.occurrences < 0 or self.interval < 0:
            return "negative repetition"
        return ""
