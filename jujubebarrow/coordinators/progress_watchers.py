"""Tasks that stand still.

Answers workers that hang while their heartbeats are good: what stands still there is
started elsewhere, and the worker gets a pause.
"""

from jujubebarrow.coordinators.active_runs import ActiveRun, RunStage
from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.coordinators.worker_ledgers import WorkerLedger
from jujubebarrow.logs.decision_logs import DecisionLog

STALL_SECONDS = 2.2
"""Least seconds without any progress after which a task stands still; workers tell
progress in steps of up to a second, and two looks are up to 1.6 s apart."""
STALL_ESTIMATE_SHARE = 0.05
"""Share of the estimate added to that; progress is told in hundredths, and tasks may
take several times their estimate."""
WORKER_PAUSE_SECONDS = 2.0
"""Seconds for which a worker whose tasks stand still gets no others."""


class StallDetector:
    """Judges workers by the progress of their tasks.

    Args:
        state: State of the pool.
        log: Log of decisions.
    """

    def __init__(self, state: PoolState, log: DecisionLog):
        self._state = state
        self._log = log

    def check_worker(self, worker: WorkerLedger, now: float) -> None:
        """Judge a worker that has just reported."""
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
                self._restart_elsewhere(worker, run, now)
                worker.score.pause(now + WORKER_PAUSE_SECONDS)

    def _find_estimate(self, run: ActiveRun) -> float | None:
        job = self._state.jobs.get(run.task.job)
        if job is None or job.record.is_long_running:
            return None
        step = job.find_step(run.task)
        if step is None or step.spec.gang or run.pace < 100:
            return None
        return step.spec.estimate or None

    def _restart_elsewhere(
        self, worker: WorkerLedger, run: ActiveRun, now: float
    ) -> None:
        self._log.write(
            "task_stands_still",
            task=str(run.task),
            run=run.run,
            worker=worker.worker,
            percent=run.percent,
            seconds=round(now - run.progressed_at, 2),
        )
        job = self._state.jobs.get(run.task.job)
        task = job.find(run.task) if job is not None else None
        if task is not None:
            task.avoided_worker = worker.worker
        self._state.request_stop(run)
