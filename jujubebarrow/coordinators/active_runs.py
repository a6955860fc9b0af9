"""Run of a task that may still be executing on a worker."""

from dataclasses import dataclass
from enum import Enum

from jujubebarrow.workloads.identifiers import RunNumber, WorkerId, WorkerIncarnation
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.task_keys import TaskKey


class RunStage(Enum):
    """Stage of a run as seen by the pool's owner.

    Attributes:
        PLANNED: The run is not recorded in the store yet.
        RECORDED: The run is recorded, but its worker has not acknowledged the start.
        CONFIRMED: The worker has acknowledged the start or has listed the run.
        INHERITED: A former owner recorded the run, and the worker has not listed the
            run to the present owner yet.
        STOPPING: The stop of the run has been requested.
    """

    PLANNED = "planned"
    RECORDED = "recorded"
    CONFIRMED = "confirmed"
    INHERITED = "inherited"
    STOPPING = "stopping"


@dataclass(slots=True, eq=False)
class ActiveRun:
    """Run that may still be executing on its worker.

    Attributes:
        task: Task that the run executes.
        run: Number of the run among the runs of its task.
        incarnation: Worker incarnation that the run was planned for, or a later one
            that may execute the run.
        reserved: Resources reserved for the run on its worker.
        usage: Resources that count against its team's upper limit.
        is_long_running: Whether the run lasts until it is stopped.
        stage: Stage that the run has reached.
        is_listed: Whether that incarnation has listed the run.
        is_absent: Whether that incarnation neither lists the run nor accepts a start of
            it, so that only a later one may execute the run.
        confirmed_at: Time in seconds at which the worker acknowledged the start or
            first listed the run.
        stop_acknowledged_at: Time in seconds at which the worker acknowledged the stop.
        has_moved: Whether the worker restarted while it might still execute a start.
        is_outdated: Whether that incarnation has rejected the start, since it has
            already stopped or ended the run or a later one.
        unacknowledged_starts: Number of unacknowledged starts; the worker may still
            execute each of these starts.
        late_start_until: Time in seconds until which the worker may execute the last
            unacknowledged start.
        is_start_sent: Whether a start order may have left this process.
        first_sent_at: Time in seconds at which this process sent the first start order;
            0 if it sent none.
        is_suspect: Whether the task's former run may have crashed its worker.
        is_isolated: Whether no other run may start on the worker during this one, since
            the finite task has lost several workers.
        is_proven: Whether the worker has responded long enough after the start of the
            run to show that the start did not crash it.
        is_loss_recorded: Whether the loss of the worker counts against the task.
        has_succeeded: Whether the long-running task has been at work for some time.
        ticket: Grant of the placement advice; empty if the queue needs no advice.
        progress_percent: Progress in percent that the worker last reported.
        progressed_at: Time in seconds at which the progress last changed; before the
            first change, the time of the confirmation. Not set before that.
        load: Load that the worker last reported, see ``RunningTask``.
        speed_percent: Speed that the worker last acknowledged, in percent of full
            speed.
    """

    task: TaskKey
    run: RunNumber
    incarnation: WorkerIncarnation
    reserved: Resources
    usage: Resources
    is_long_running: bool = False
    stage: RunStage = RunStage.PLANNED
    is_listed: bool = False
    is_absent: bool = False
    confirmed_at: float = 0.0
    stop_acknowledged_at: float = 0.0
    has_moved: bool = False
    is_outdated: bool = False
    unacknowledged_starts: int = 0
    late_start_until: float = 0.0
    is_start_sent: bool = False
    first_sent_at: float = 0.0
    is_suspect: bool = False
    is_isolated: bool = False
    is_proven: bool = False
    is_loss_recorded: bool = False
    has_succeeded: bool = False
    ticket: str = ""
    progress_percent: int = 0
    progressed_at: float = 0.0
    load: int = 0
    speed_percent: int = 100

    @property
    def worker(self) -> WorkerId:
        """Id of the worker that the run was planned for."""
        return WorkerId(self.incarnation[0])

    def prepare_repeated_start(self) -> None:
        """Forget what is known of the former incarnation, which has ended the run."""
        self.stage = RunStage.RECORDED
        self.is_listed = False
        self.is_proven = False
        self.is_loss_recorded = False
        self.has_succeeded = False
        self.confirmed_at = 0.0
        self.progress_percent = 0
        self.speed_percent = 100

    def confirm(self, now: float) -> None:
        """Record that the worker acknowledged the start or listed the run.

        Args:
            now: Time in seconds.
        """
        self.stage = RunStage.CONFIRMED
        self.confirmed_at = now
        self.progressed_at = now
