"""State of the tasks of one step in one occurrence of a job."""

from jujubebarrow.coordinators.task_states import TaskState
from jujubebarrow.placements.run_evidence import RunEvidence
from jujubebarrow.workloads.step_specs import (
    CHECKPOINT_BYTES,
    STEP_BYTES,
    TASKS_PER_MASK_BYTE,
    StepSpec,
)

REPEATED_CRASH_COUNT = 2
"""Crashes in a row from which on they are hardly by chance."""


class StepState:
    """States of the tasks of a step.

    Args:
        spec: Step as the caller described it.
    """

    def __init__(self, spec: StepSpec):
        self.spec = spec
        self.tasks = [TaskState() for _ in range(spec.count)]
        self.done_count = 0
        self.evidence = RunEvidence()

    @property
    def is_done(self) -> bool:
        """Whether all tasks are done."""
        return self.done_count == len(self.tasks)

    @property
    def waiting(self) -> list[int]:
        """Indexes of the tasks that are not done and have no active run."""
        return [
            index
            for index, task in enumerate(self.tasks)
            if not task.is_done and task.active is None
        ]

    @property
    def has_waiting(self) -> bool:
        """Whether a task is not done and has no active run."""
        return any(not task.is_done and task.active is None for task in self.tasks)

    @property
    def is_crashing(self) -> bool:
        """Whether a task has crashed its workers repeatedly."""
        return any(task.crashes >= REPEATED_CRASH_COUNT for task in self.tasks)

    @property
    def document_bytes(self) -> int:
        """Bound of the step's part of the stored progress, in bytes."""
        task_bytes = self.spec.task_bytes
        size = STEP_BYTES + len(self.tasks) // TASKS_PER_MASK_BYTE
        for task in self.tasks:
            if task.is_done or not (task.last_run or self.spec.starts_together):
                continue
            size += task_bytes + max(0, len(task.checkpoint) - CHECKPOINT_BYTES)
        return size

    def compute_restart_delay(self, task: TaskState) -> float:
        """Return for how many seconds a task of the step waits after its last run."""
        return task.compute_restart_delay(self.spec.long_running)

    def mark_done(self, index: int) -> None:
        """Mark a task as done; all tasks of a gang become done together."""
        indexes = range(len(self.tasks)) if self.spec.gang else (index,)
        for number in indexes:
            task = self.tasks[number]
            if not task.is_done:
                task.is_done = True
                self.done_count += 1
