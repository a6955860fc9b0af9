"""Log of workers that list more runs than they have capacity for."""

from collections import Counter

from jujubebarrow.coordinators.late_start_records import StepKey
from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.coordinators.worker_views import WorkerView
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.workloads.identifiers import WorkerId, WorkerIncarnation
from jujubebarrow.workloads.resources import NO_RESOURCES
from jujubebarrow.workloads.worker_reports import RunningTask


class OverloadRecorder:
    """Logs when the runs that a worker lists exceed its capacity or a step's limit.

    Each incarnation of a worker is logged at most once.

    Args:
        state: Jobs and workers of the pool.
        log: Decision log.
    """

    def __init__(self, state: PoolState, log: DecisionLog):
        self._state = state
        self._log = log
        self._logged: dict[WorkerId, WorkerIncarnation] = {}

    def check_report(
        self, worker: WorkerView, running: tuple[RunningTask, ...]
    ) -> None:
        """Check the runs that the present incarnation of a worker has listed."""
        entry = worker.entry
        if (
            entry is None
            or entry.started_at_ms != worker.started_at_ms
            or self._logged.get(worker.worker) == worker.incarnation
        ):
            return
        total = NO_RESOURCES
        counts: Counter[StepKey] = Counter()
        crowded = set()
        for each in running:
            job = self._state.jobs.get(each.task.job)
            step = job.find_step(each.task) if job is not None else None
            if step is None:
                continue
            key = each.task[:3]
            total = total.plus(step.spec.reserved)
            counts[key] += 1
            if 0 < step.spec.most_per_worker < counts[key]:
                crowded.add(".".join(map(str, key)))
        if total.fits(worker.capacity) and not crowded:
            return
        self._logged[worker.worker] = worker.incarnation
        known = [each for each in running if (each.task, each.run) in worker.runs]
        self._log.write(
            "worker_overloaded",
            worker=worker.worker,
            born=worker.started_at_ms,
            runs=len(running),
            strays=len(running) - len(known),
            needs=total,
            capacity=worker.capacity,
            late_starts=worker.late_starts_reserved,
            steps=sorted(crowded),
        )
