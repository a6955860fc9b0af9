"""Detection of stalled tasks.

A worker can hang while it still responds to lease renewals. Its stalled tasks are
started on other workers, and the worker gets no new tasks for some time.
"""

from jujubebarrow.coordinators.active_runs import ActiveRun, RunStage
from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.coordinators.worker_views import WorkerView
from jujubebarrow.logs.decision_logs import DecisionLog

STALL_SECONDS = 2.2
"""Minimum time without progress after which a task counts as stalled. Workers update
their progress at intervals of up to a second, and two polls are up to 1.6 s apart."""
STALL_ESTIMATE_SHARE = 0.05
"""Share of the estimated duration that is added to the minimum. Progress is reported in
percent, and tasks may take several times their estimate."""
WORKER_PAUSE_SECONDS = 2.0
"""Time for which a worker with a stalled task gets no new tasks."""


class StallDetector:
    """Stops stalled tasks so that they are started on other workers.

    Args:
        state: Jobs and workers of the pool.
        log: Decision log.
    """

    def __init__(self, state: PoolState, log: DecisionLog):
        self._state = state
        self._log = log

    def check_worker(self, worker: WorkerView, now: float) -> None:
        """Stop the stalled tasks of a worker that has just reported.

        Pauses the worker if one of its tasks has stalled that does better elsewhere.
        """
        for run in list(worker.runs.values()):
            estimate = self._find_estimate(run)
            if estimate is None or run.stage is not RunStage.CONFIRMED:
                continue
            grace_period = (
                STALL_SECONDS
                + STALL_ESTIMATE_SHARE * estimate
                + worker.remaining_warmup(now)
            )
            if now - run.progressed_at > grace_period:
                if self._stop_stalled_run(worker, run, now):
                    worker.score.pause(now + WORKER_PAUSE_SECONDS)

    def _find_estimate(self, run: ActiveRun) -> float | None:
        job = self._state.jobs.get(run.task.job)
        if job is None or run.is_long_running:
            return None
        step = job.find_step(run.task)
        if step is None or step.spec.gang or run.speed_percent < 100:
            return None
        return step.spec.estimate or None

    def _stop_stalled_run(self, worker: WorkerView, run: ActiveRun, now: float) -> bool:
        """Stop a stalled run; return whether it speaks against the worker."""
        self._log.write(
            "task_stands_still",
            task=str(run.task),
            run=run.run,
            worker=worker.worker,
            percent=run.progress_percent,
            seconds=round(now - run.progressed_at, 2),
        )
        job = self._state.jobs.get(run.task.job)
        task = job.find_task(run.task) if job is not None else None
        step = job.find_step(run.task) if job is not None else None
        if task is not None:
            task.avoided_worker = worker.worker
        self._state.request_stop(run)
        return step is not None and step.evidence.record_failure(
            run.task.index, worker.worker
        )
