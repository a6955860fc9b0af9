"""Step of a job as described by the caller."""

from dataclasses import dataclass

from jujubebarrow.workloads.resources import NO_RESOURCES, Resources

STEP_BYTES = 32
"""Bound of what a step without started tasks adds to the stored progress, besides the
mask of its done tasks."""
TASKS_PER_MASK_BYTE = 4
TASK_BYTES = 72
"""Bound of what a started task adds to the stored progress: its numbers, its counts and
a worker's id of up to 24 bytes."""
CHECKPOINT_BYTES = 40
"""Bound of a checkpoint's usual size."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StepSpec:
    """Step of a job: a number of tasks with the same requirements.

    Attributes:
        count: Number of tasks.
        needs: Resources that one task needs.
        estimate: Caller's rough estimate of a task's duration in seconds.
        after: Indexes of earlier steps whose tasks must all be completed first.
        gang: Whether the tasks make progress only while all of them are running.
        same_rack: Whether a gang that spans racks runs slower.
        label: Label that the worker must have; empty if any worker will do.
        data_rack: Rack that holds the tasks' data; empty if there is none.
        most_per_worker: Maximum number of the step's tasks on one worker; 0 for no
            limit.
        checkpoints: Whether a restarted task can resume from a checkpoint.
        speculative: Whether duplicate runs of a task may run in parallel.
        long_running: Whether the tasks run until the job is cancelled.
        image: Image that the tasks run; tasks of the same image behave alike.
        target_latency: Maximum tail latency in seconds for the task's users; 0 for a
            task that serves no users.
        uses_leftovers: Whether the tasks are best-effort tasks: they use only spare
            processor time, which is not counted against the worker's capacity.
        tolerated_absences: Number of tasks of a long-running step that planned
            actions may make unavailable at the same time; 0 for no limit.
    """

    count: int = 1
    needs: Resources = NO_RESOURCES
    estimate: float = 0.0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    most_per_worker: int = 0
    checkpoints: bool = False
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_latency: float = 0.0
    uses_leftovers: bool = False
    tolerated_absences: int = 0

    @property
    def reserved(self) -> Resources:
        """Resources of one task that are counted against the worker's capacity."""
        if self.uses_leftovers:
            return Resources(0, self.needs.memory, self.needs.gpus)
        return self.needs

    @property
    def estimated_work(self) -> float:
        """Estimated work of all tasks in core-seconds."""
        return self.count * self.needs.cpu / 1000 * self.estimate

    @property
    def task_bytes(self) -> int:
        """Bound of what a started task adds to the stored progress, in bytes."""
        return TASK_BYTES + (CHECKPOINT_BYTES if self.checkpoints else 0)

    @property
    def starts_together(self) -> bool:
        """Whether all tasks run at the same time, so that all have to be recorded."""
        return self.gang or self.long_running

    @property
    def reserved_bytes(self) -> int:
        """Bound of what the step adds to the stored progress before any start."""
        size = STEP_BYTES + self.count // TASKS_PER_MASK_BYTE
        return size + (self.count * self.task_bytes if self.starts_together else 0)
