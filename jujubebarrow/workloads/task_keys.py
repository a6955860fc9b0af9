"""Identifier of a task."""

from typing import NamedTuple

from jujubebarrow.identifiers import JobId


class TaskKey(NamedTuple):
    """Identifies one task of one occurrence of a job.

    Attributes:
        job: Id of the job.
        occurrence: Index of the occurrence, from 0.
        step: Index of the step, from 0.
        index: Index of the task within the step, from 0.
    """

    job: JobId
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"
