"""What is known of the tasks of one step of one occurrence."""

from jujubebarrow.coordinators.task_states import TaskState
from jujubebarrow.workloads.step_specs import StepSpec


class StepState:
    """Tasks of a step.

    Args:
        spec: Step.
    """

    def __init__(self, spec: StepSpec):
        self.spec = spec
        self.tasks = [TaskState() for _ in range(spec.count)]
        self.done_count = 0

    @property
    def is_done(self) -> bool:
        """Whether all tasks have ended as done."""
        return self.done_count == len(self.tasks)

    @property
    def waiting(self) -> list[int]:
        """Indexes of tasks that are neither done nor possibly at work."""
        return [
            index
            for index, task in enumerate(self.tasks)
            if not task.is_done and task.active is None
        ]

    def mark_done(self, index: int) -> None:
        """Note that a task has ended as done; a gang ends as a whole."""
        indexes = range(len(self.tasks)) if self.spec.gang else (index,)
        for number in indexes:
            task = self.tasks[number]
            if not task.is_done:
                task.is_done = True
                self.done_count += 1
