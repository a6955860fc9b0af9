"""Speed of tasks that use leftovers beside tasks with users of their own."""

from jujubebarrow.coordinators.active_runs import ActiveRun, RunStage
from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.coordinators.worker_ledgers import WorkerLedger
from jujubebarrow.workloads.step_specs import StepSpec

FULL_SPEED_PERCENT = 100
"""Percent of full speed."""
THROTTLE_ABOVE_RATIO = 0.92
"""Share of a target at which leftovers are slowed, before the target is passed."""
RAISE_BELOW_RATIO = 0.7
"""Share of a target below which leftovers get speed back."""
SLOWDOWN_FACTOR = 0.5
"""Factor of the pace when a tail is near its target: it halves within a look."""
RAISE_STEP_PERCENT = 12
"""Percent given back at a look; some looks until full speed, so that the tail
shows each step."""
MIN_SPEED_PERCENT = 12
"""Percent below which a pace is set to 0: slower work is worth next to nothing."""


class Throttler:
    """Slows leftovers on a worker whose served tasks come near their targets.

    Args:
        state: State of the pool.
    """

    def __init__(self, state: PoolState):
        self._state = state

    def adjust_speed(self, worker: WorkerLedger) -> list[ActiveRun]:
        """Return the runs whose pace has to be ordered anew.

        Args:
            worker: Worker that has just reported.
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
            if run.pace != worker.best_effort_speed_percent
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
