"""Evacuation of workers whose machine is about to be shut down."""

from collections import Counter
from enum import Enum

from jujubebarrow.coordinators.active_runs import ActiveRun, RunStage
from jujubebarrow.coordinators.job_progresses import JobProgress
from jujubebarrow.coordinators.planners import count_runs_by_worker
from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.coordinators.step_states import StepState
from jujubebarrow.coordinators.worker_views import WorkerView
from jujubebarrow.workloads.identifiers import StepKey, WorkerId

OPERATING_PERCENT = 100
"""Progress that a long-running task reports once the task is operating."""


class DrainHold(Enum):
    """Why a run is still on a worker that is evacuated.

    ENDING runs finish or have been asked to stop. The others are long-running tasks
    that must not be stopped: the step tolerates no further ABSENCES, or the task waits
    for the CAPACITY of another worker.
    """

    ENDING = "ending"
    ABSENCES = "absences"
    CAPACITY = "capacity"


LASTING_HOLDS = (DrainHold.ABSENCES, DrainHold.CAPACITY)
"""Holds that may last, and keep the worker from being empty."""


class Evacuator:
    """Moves tasks off workers; finite tasks may finish first.

    A finite task that is stopped has to repeat its work, unless it resumes from a
    checkpoint.

    Args:
        state: Jobs and workers of the pool.
    """

    def __init__(self, state: PoolState):
        self._state = state

    def evacuate(
        self, worker_id: WorkerId, is_grace_period_over: bool
    ) -> Counter[DrainHold]:
        """Stop the tasks that may be moved; return the number of runs by their hold.

        The worker has no runs if there are no holds.

        A long-running task is stopped if fewer tasks of the step are absent than the
        step tolerates (a step that states no tolerated absences has no such limit) and
        another worker has free capacity for the task. If no other worker can ever have
        it, the task is interrupted after the grace period, until the worker is back.
        Finite tasks may run until the grace period is over, and as long as a
        long-running task has to stay.

        Args:
            worker_id: Id of the worker.
            is_grace_period_over: Whether finite tasks are stopped as well.
        """
        holds: Counter[DrainHold] = Counter()
        worker = self._state.workers.get(worker_id)
        if worker is None:
            return holds
        finite: list[ActiveRun] = []
        for run in list(worker.runs.values()):
            job = self._state.jobs.get(run.task.job)
            hold = None
            if job is not None and run.stage is not RunStage.STOPPING:
                if run.is_long_running:
                    hold = self._find_hold(job, run, worker, is_grace_period_over)
                    if hold is None:
                        self._state.request_stop(run)
                else:
                    finite.append(run)
            holds[hold or DrainHold.ENDING] += 1
        if is_grace_period_over and not any(holds[hold] for hold in LASTING_HOLDS):
            for run in finite:
                self._state.request_stop(run)
        return holds if worker.runs else Counter()

    def can_empty(self, worker_id: WorkerId) -> bool:
        """Return whether a task of each long-running step on a worker may be stopped.

        Args:
            worker_id: Id of the worker.
        """
        worker = self._state.workers.get(worker_id)
        if worker is None:
            return True
        steps: dict[StepKey, bool] = {}
        for run in worker.runs.values():
            job = self._state.jobs.get(run.task.job)
            if job is None or not run.is_long_running:
                continue
            key = StepKey(run.task[:3])
            steps[key] = (
                steps.get(key, False)
                or run.stage is RunStage.STOPPING
                or self._find_hold(job, run, worker, True) is None
            )
        return all(steps.values())

    def _find_hold(
        self,
        job: JobProgress,
        run: ActiveRun,
        worker: WorkerView,
        is_grace_period_over: bool,
    ) -> DrainHold | None:
        """Return why a long-running task must not be stopped; None if it may be."""
        step = job.find_step(run.task)
        if step is None:
            return None
        limit = step.spec.tolerated_absences
        if limit and self.count_absent(step, run) >= limit:
            return DrainHold.ABSENCES
        if self._has_free_capacity(step, worker):
            return None
        if is_grace_period_over and not self._may_get_capacity(step, worker):
            return None
        return DrainHold.CAPACITY

    def count_absent(self, step: StepState, excluded: ActiveRun | None = None) -> int:
        """Return how many tasks of a step are not known to be operating.

        Args:
            step: Long-running step.
            excluded: Run whose task does not count.
        """
        return sum(
            not self._is_operating(task.active)
            for task in step.tasks
            if not task.is_done and (excluded is None or task.active is not excluded)
        )

    def _is_operating(self, run: ActiveRun | None) -> bool:
        if run is None or run.stage is not RunStage.CONFIRMED:
            return False
        worker = self._state.workers.get(run.worker)
        if worker is None or worker.entry is None or worker.unresponsive_since:
            return False
        return run.progress_percent >= OPERATING_PERCENT

    def _may_get_capacity(self, step: StepState, excluded: WorkerView) -> bool:
        """Return whether another worker has room for a task once finite runs end."""
        run_counts = count_runs_by_worker(step)
        limit = step.spec.most_per_worker
        return any(
            worker is not excluded
            and not worker.is_cordoned
            and worker.entry is not None
            and worker.has_label(step.spec.label)
            and not (limit and run_counts[worker.worker] >= limit)
            and step.spec.reserved.fits(worker.capacity_for_finite_runs)
            for worker in self._state.workers.values()
        )

    def _has_free_capacity(self, step: StepState, excluded: WorkerView) -> bool:
        """Return whether another worker has free capacity for a task of a step."""
        for worker in self._state.workers.values():
            if worker is excluded or worker.is_cordoned or worker.entry is None:
                continue
            if step.spec.reserved.fits(worker.free):
                return True
        return False
