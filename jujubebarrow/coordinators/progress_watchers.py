"""Workers that are slow, and tasks that stand still.

Answers workers that slow down several times or hang while their heartbeats are
good: callers see it as late jobs, so no more is placed there, and what stands still
is started elsewhere.
"""

from jujubebarrow.coordinators.active_runs import ActiveRun, RunStage
from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.coordinators.worker_ledgers import WorkerLedger
from jujubebarrow.logs.decision_logs import DecisionLog

STILL_SECONDS = 1.3
"""Least seconds without any progress after which a task stands still; two looks at
its worker are that far apart."""
STILL_SHARE = 0.05
"""Share of the estimate added to that; progress is told in hundredths, and tasks may
take several times their estimate."""
JUDGED_SECONDS = 0.5
"""Seconds that a task must have run before its speed tells something."""
SLOW_SPEED = 0.35
"""Speed against the estimate below which a worker is slow; estimates are off by a
factor of less than two, disruptions slow a worker by four and more."""
SLOW_TASKS = 3
"""Tasks that must be slow at a time, as single estimates can be far off."""
SLOW_PAUSE = 2.0
"""Seconds for which a slow worker gets no tasks before it is judged again."""


class ProgressWatcher:
    """Judges workers by the progress of their tasks.

    Args:
        state: State of the pool.
        log: Log of decisions.
    """

    def __init__(self, state: PoolState, log: DecisionLog):
        self._state = state
        self._log = log

    def watch(self, worker: WorkerLedger, now: float) -> None:
        """Judge a worker that has just reported."""
        slow, judged = 0, 0
        for run in list(worker.runs.values()):
            estimate = self._find_estimate(run)
            if estimate is None or run.stage is not RunStage.CONFIRMED:
                continue
            elapsed = now - run.confirmed_at
            if elapsed < JUDGED_SECONDS:
                continue
            judged += 1
            patience = STILL_SECONDS + STILL_SHARE * estimate + worker.cold_left(now)
            if now - run.progressed_at > patience:
                self._move(worker, run, now)
                slow += 1
            elif run.percent / 100 * estimate < SLOW_SPEED * elapsed:
                slow += 1
        if slow >= SLOW_TASKS and 2 * slow > judged:
            worker.score.pause(now + SLOW_PAUSE)
            self._log.write(
                "worker_slow", worker=worker.worker, slow=slow, judged=judged
            )

    def _find_estimate(self, run: ActiveRun) -> float | None:
        job = self._state.jobs.get(run.task.job)
        if job is None or job.record.is_long_running:
            return None
        step = job.find_step(run.task)
        if step is None or step.spec.gang or run.pace < 100:
            return None
        return step.spec.estimate or None

    def _move(self, worker: WorkerLedger, run: ActiveRun, now: float) -> None:
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
            task.avoided = worker.worker
        self._state.request_stop(run)
