"""Speed of tasks that use leftovers beside tasks with users of their own."""

from jujubebarrow.coordinators.active_runs import ActiveRun, RunStage
from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.coordinators.worker_ledgers import WorkerLedger
from jujubebarrow.workloads.step_specs import StepSpec

FULL_PACE = 100
"""Percent of full speed."""
LOWER_AT = 0.92
"""Share of a target at which leftovers are slowed, before the target is passed."""
RAISE_AT = 0.7
"""Share of a target below which leftovers get speed back."""
SLOWING = 0.5
"""Factor of the pace when a tail is near its target: it halves within a look."""
RAISE_STEP = 12
"""Percent given back at a look; some looks until full speed, so that the tail
shows each step."""
LEAST_PACE = 12
"""Percent below which a pace is set to 0: slower work is worth next to nothing."""


class Pacer:
    """Slows leftovers on a worker whose served tasks come near their targets.

    Args:
        state: State of the pool.
    """

    def __init__(self, state: PoolState):
        self._state = state

    def adjust(self, worker: WorkerLedger) -> list[ActiveRun]:
        """Return the runs whose pace has to be ordered anew.

        Args:
            worker: Worker that has just reported.
        """
        nearness = 0.0
        fillers: list[ActiveRun] = []
        for run in worker.runs.values():
            spec = self._find_spec(run)
            if spec is None or run.stage is not RunStage.CONFIRMED:
                continue
            if spec.uses_leftovers:
                fillers.append(run)
            elif spec.target_latency and run.load:
                nearness = max(nearness, run.load / 1000 / spec.target_latency)
        if not fillers:
            return []
        worker.leftover_pace = _choose_pace(worker.leftover_pace, nearness)
        return [run for run in fillers if run.pace != worker.leftover_pace]

    def _find_spec(self, run: ActiveRun) -> StepSpec | None:
        job = self._state.jobs.get(run.task.job)
        step = job.find_step(run.task) if job is not None else None
        return step.spec if step is not None else None


def _choose_pace(pace: int, nearness: float) -> int:
    if nearness >= LOWER_AT:
        slower = int(pace * SLOWING)
        return slower if slower >= LEAST_PACE else 0
    if nearness < RAISE_AT:
        return min(FULL_PACE, pace + RAISE_STEP)
    return pace
