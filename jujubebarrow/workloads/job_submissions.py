"""Job as a caller hands it in."""

from dataclasses import dataclass

from jujubebarrow.workloads.step_specs import StepSpec


@dataclass(frozen=True, slots=True, kw_only=True)
class JobSubmission:
    """What a caller says of a job.

    Attributes:
        payload: Text for the tasks.
        steps: Steps.
        first_start: Unix time of the first occurrence in seconds.
        interval: Time between two occurrences in seconds.
        occurrences: Number of occurrences; 0 for one without a time.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    first_start: float = 0.0
    interval: float = 0.0
    occurrences: int = 0

    def find_fault(self) -> str:
        """Return what is wrong with the submission; empty if nothing is."""
        if not self.steps:
            return "a job needs a step"
        for number, step in enumerate(self.steps):
            if step.count < 1:
                return f"step {number}: needs a task"
            if min(step.needs) < 0 or step.most_per_worker < 0:
                return f"step {number}: negative amount"
            if any(before >= number or before < 0 for before in step.after):
                return f"step {number}: may only come after earlier steps"
        if self.occurrences < 0 or self.interval < 0:
            return "negative repetition"
        return ""
