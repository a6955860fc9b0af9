"""Throttling of best-effort tasks that share a worker with latency-bound tasks."""

from jujubebarrow.coordinators.active_runs import ActiveRun, RunStage
from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.coordinators.worker_views import WorkerView
from jujubebarrow.workloads.step_specs import StepSpec

FULL_SPEED_PERCENT = 100
"""Speed of a run that is not throttled."""
THROTTLE_ABOVE_RATIO = 0.92
"""Ratio of latency to target from which best-effort tasks are slowed down; below 1 so
that the slowdown starts before the target is missed."""
RAISE_BELOW_RATIO = 0.7
"""Ratio of latency to target below which best-effort tasks are sped up again."""
SLOWDOWN_FACTOR = 0.5
"""Factor applied to the speed at each report with a tail latency near its target."""
RAISE_STEP_PERCENT = 12
"""Percent added at each report. Full speed takes several reports, so that the tail
latency shows the effect of each increase."""
MIN_SPEED_PERCENT = 12
"""Percent below which the speed is set to 0, because slower work has hardly any
value."""


class Throttler:
    """Throttles best-effort tasks while other tasks are near their latency targets.

    The speed is set for each worker. The task with the highest ratio of latency to
    target on that worker decides.

    Args:
        state: Jobs and workers of the pool.
    """

    def __init__(self, state: PoolState):
        self._state = state

    def adjust_speed(self, worker: WorkerView) -> list[ActiveRun]:
        """Set a worker's best-effort speed; return the runs that need a new order.

        Args:
            worker: Worker that has just reported its runs.
        """
        latency_ratio = 0.0
        best_effort_runs: list[ActiveRun] = []
        for run in worker.runs.values():
            spec = self._find_spec(run)
            if spec is None or run.stage is not RunStage.CONFIRMED:
                continue
            if spec.uses_leftovers:
                best_effort_runs.append(run)
            elif spec.target_latency and run.load:
                latency_ratio = max(
                    latency_ratio, run.load / 1000 / spec.target_latency
                )
        if not best_effort_runs:
            return []
        worker.best_effort_speed_percent = _choose_speed(
            worker.best_effort_speed_percent, latency_ratio
        )
        return [
            run
            for run in best_effort_runs
            if run.speed_percent != worker.best_effort_speed_percent
        ]

    def _find_spec(self, run: ActiveRun) -> StepSpec | None:
        job = self._state.jobs.get(run.task.job)
        step = job.find_step(run.task) if job is not None else None
        return step.spec if step is not None else None


def _choose_speed(percent: int, latency_ratio: float) -> int:
    if latency_ratio >= THROTTLE_ABOVE_RATIO:
        slower = int(percent * SLOWDOWN_FACTOR)
        return slower if slower >= MIN_SPEED_PERCENT else 0
    if latency_ratio < RAISE_BELOW_RATIO:
        return min(FULL_SPEED_PERCENT, percent + RAISE_STEP_PERCENT)
    return percent
