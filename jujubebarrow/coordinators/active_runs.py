"""Run of a task that may be at work."""

from dataclasses import dataclass
from enum import Enum

from jujubebarrow.workloads.identifiers import RunNumber, WorkerId, WorkerLife
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.task_keys import TaskKey


class RunStage(Enum):
    """How far a run has come."""

    PLANNED = "planned"
    RECORDED = "recorded"
    CONFIRMED = "confirmed"
    INHERITED = "inherited"
    STOPPING = "stopping"


@dataclass(slots=True, eq=False)
class ActiveRun:
    """Run that is not known to have ended.

    Attributes:
        task: Task.
        run: Number of the run.
        life: Worker's life that it was planned for.
        reserved: Resources that it holds on its worker.
        usage: Resources that count against its team's limit.
        is_long_running: Whether it does not end by itself.
        stage: How far it has come.
        confirmed_at: Time in seconds at which the worker answered the start.
        stop_acknowledged_at: Time in seconds at which the worker answered the stop.
        unanswered: Starts whose answer is open; they may be carried out late.
        late_start_until: Time in seconds until which these may be carried out.
        sent: Whether a start may have left this process.
        ticket: Grant of the placement advice; empty if none is needed.
        percent: Progress last reported.
        progressed_at: Time in seconds of the last progress.
        load: Load last reported, see ``RunningTask``.
        pace: Share of full speed last ordered, in percent.
    """

    task: TaskKey
    run: RunNumber
    life: WorkerLife
    reserved: Resources
    usage: Resources
    is_long_running: bool = False
    stage: RunStage = RunStage.PLANNED
    confirmed_at: float = 0.0
    stop_acknowledged_at: float = 0.0
    unanswered: int = 0
    late_start_until: float = 0.0
    sent: bool = False
    ticket: str = ""
    percent: int = 0
    progressed_at: float = 0.0
    load: int = 0
    pace: int = 100

    @property
    def worker(self) -> WorkerId:
        """Worker that it was planned for."""
        return WorkerId(self.life[0])
