"""Name of a task."""

from typing import NamedTuple

from jujubebarrow.identifiers import JobId


class TaskKey(NamedTuple):
    """One task of one occurrence of a job.

    Attributes:
        job: Job.
        occurrence: Occurrence, from 0.
        step: Step, from 0.
        index: Task within the step, from 0.
    """

    job: JobId
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"
