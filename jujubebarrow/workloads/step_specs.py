"""Step of a job as its caller described it."""

from dataclasses import dataclass

from jujubebarrow.workloads.resources import NOTHING, Resources


@dataclass(frozen=True, slots=True, kw_only=True)
class StepSpec:
    """Tasks that are alike.

    Attributes:
        count: Number of tasks.
        needs: Resources of one task.
        estimate: Caller's rough estimate of a task's duration in seconds.
        after: Numbers of earlier steps whose tasks must all be done first.
        gang: The tasks work only while all of them are present.
        same_rack: A gang that spans racks is slower.
        label: Label that the worker must have; empty for none.
        data_rack: Rack where the data is; empty for none.
        most_per_worker: Most tasks of the step on one worker; 0 for no limit.
        checkpoints: A task that is started again can resume.
        speculative: Copies of a task may run in parallel.
        long_running: The tasks run until the job is cancelled.
        image: What the tasks run; tasks of one image behave alike.
        target_latency: Longest tail latency of the task's users in seconds; 0 for
            a task without users of its own.
        uses_leftovers: The processor is not counted against the worker; the tasks
            use what others leave.
        tolerated_absences: Tasks of a long-running step that may be unavailable
            at a time because of a planned action.
    """

    count: int = 1
    needs: Resources = NOTHING
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
        """Resources of one task that count against its worker's capacity."""
        if self.uses_leftovers:
            return Resources(0, self.needs.memory, self.needs.gpus)
        return self.needs
