"""Demand of a pool's jobs and the workers that can accept tasks."""

from jujubebarrow.coordinators.arrival_rates import ArrivalRate
from jujubebarrow.coordinators.job_progresses import JobProgress
from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.coordinators.worker_views import WorkerView
from jujubebarrow.placements.drain_limits import StepKind
from jujubebarrow.placements.job_orders import LATE_VALUE_SHARE, JobOrder
from jujubebarrow.workloads.identifiers import WorkerIncarnation
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec

RANK_GROUP_WEIGHTS = (1.0, 1.0, LATE_VALUE_SHARE, 0.0)
"""Factor of a job's requests in the demand, by the group of the job's rank."""


class JobDemand:
    """Computes the demand of a pool from its jobs and workers.

    Args:
        state: Jobs and workers of the pool.
        order: Ranking of the jobs.
    """

    def __init__(self, state: PoolState, order: JobOrder):
        self._state = state
        self._order = order
        self._arrivals = ArrivalRate()

    def record_arrival(self, job: JobProgress, now: float) -> None:
        """Add a job that has just been accepted to the arrival rate.

        Ignores long-running steps and jobs with several occurrences.
        """
        has_finite_step = not all(step.long_running for step in job.record.steps)
        if has_finite_step and job.record.occurrence_count == 1:
            self._arrivals.add_work(job.record.estimated_finite_work, now)

    def count_demand(self, now: float) -> int:
        """Return the demand of the pool in thousandths of a core.

        The demand is the greatest of three amounts: the requests of startable and
        running tasks, the capacity that runs the started long-running tasks and keeps
        up with arriving jobs, and the capacity that long-running steps need to spread
        their tasks. Tasks count even if their team is at its upper limit. The requests
        of a job are weighted by its remaining value: a late backlog must not keep
        machines from a pool whose callers can still be served in time.
        """
        requested = sum(
            RANK_GROUP_WEIGHTS[self._order.rank(job, now).group]
            * self._sum_requested_cpu(job)
            for job in self._state.list_open_jobs()
        )
        long_running_cpu = sum(
            run.reserved.cpu
            for worker in self._state.workers.values()
            for run in worker.runs.values()
            if run.is_long_running
        )
        arrival_demand = (
            long_running_cpu + 1000 * self._arrivals.compute_required_cores(now)
        )
        return max(
            round(requested), round(arrival_demand), self._compute_spread_demand()
        )

    def count_backlog(self) -> int:
        """Return the unweighted requests of startable and running tasks.

        The unit is thousandths of a core.
        """
        return sum(map(self._sum_requested_cpu, self._state.list_open_jobs()))

    def _sum_requested_cpu(self, job: JobProgress) -> int:
        running = sum(run.reserved.cpu for run in job.active_runs())
        return job.sum_waiting_cpu() + running

    def _compute_spread_demand(self) -> int:
        """Return the capacity that long-running steps need to spread their tasks.

        Returns:
            Thousandths of a core; 0 if the pool has enough workers or none.
        """
        workers = [
            worker
            for worker in self._state.workers.values()
            if worker.entry is not None and not worker.unresponsive_since
        ]
        needed_workers = 0
        for job in self._state.list_open_jobs():
            for _, _, step in job.startable_steps():
                if step.spec.long_running and step.spec.most_per_worker:
                    step_workers = -(-step.spec.count // step.spec.most_per_worker)
                    needed_workers = max(needed_workers, step_workers)
        if needed_workers <= len(workers):
            return 0
        largest_cpu = max((worker.capacity.cpu for worker in workers), default=0)
        return needed_workers * largest_cpu

    def count_lacking_workers(self) -> dict[str, int]:
        """Return how many workers startable steps lack even if all workers were empty.

        A gang lacks the workers over which it has to spread its tasks; another step
        lacks one if no worker has its label, whatever its tasks need.

        Returns:
            Number of lacking workers by their label, which is empty if any worker will
            do; only labels with lacking workers.
        """
        gangs: dict[str, set[StepKind]] = {}
        for job in self._state.list_open_jobs():
            if not job.is_selective:
                continue
            for _, _, step in job.startable_steps():
                if step.spec.gang:
                    kinds = gangs.setdefault(step.spec.label, set())
                    kinds.add(_make_gang_kind(step.spec))
                elif step.spec.label:
                    gangs.setdefault(step.spec.label, set())
        counts = {label: self._count_lacking(label, gangs[label]) for label in gangs}
        return {label: count for label, count in counts.items() if count}

    def _count_lacking(self, label: str, gangs: set[StepKind]) -> int:
        workers = self._list_workers_with(label)
        if not workers:
            return 1 if label else 0
        return _count_missing(gangs, workers)

    def find_scarce_labels(self) -> set[str]:
        """Return the labels that open jobs require and at most one worker has."""
        required = {
            step.spec.label
            for job in self._state.list_open_jobs()
            if job.is_selective
            for _, _, step in job.steps()
            if step.spec.label and not step.is_done
        }
        return {label for label in required if len(self._list_workers_with(label)) <= 1}

    def _list_workers_with(self, label: str) -> list[WorkerView]:
        """Return the registered workers that have a label."""
        return [
            worker
            for worker in self._state.workers.values()
            if worker.entry is not None and worker.has_label(label)
        ]

    def count_pending(self) -> dict[str, int]:
        """Return the number of unfinished jobs without a started task, by queue."""
        pending: dict[str, int] = {}
        for job in self._state.jobs.values():
            count = pending.setdefault(job.record.queue, 0)
            if not job.phase.is_final and not job.has_started_tasks:
                pending[job.record.queue] = count + 1
        return pending

    def has_finite_runs(self, worker: WorkerView) -> bool:
        """Return whether a worker has a run that is not long-running."""
        return not all(run.is_long_running for run in worker.runs.values())

    def list_incarnations(self, now: float) -> list[WorkerIncarnation]:
        """Return the workers that accept tasks, most free processor capacity first.

        Each worker is named by its incarnation. Those that recent failures pause come
        last, since tasks may have to run there all the same.
        """
        workers = [w for w in self._state.workers.values() if w.is_available]
        workers.sort(key=lambda w: (w.score.is_paused(now), -w.free.cpu))
        return [worker.incarnation for worker in workers]


def _make_gang_kind(spec: StepSpec) -> StepKind:
    return StepKind(spec.label, spec.count, spec.most_per_worker, spec.reserved)


def _count_missing(kinds: set[StepKind], workers: list[WorkerView]) -> int:
    """Return how many workers the kind lacks that lacks most.

    Most kinds fit on the smallest workers, which takes no look at each worker.
    """
    if not kinds:
        return 0
    capacities = [worker.capacity for worker in workers]
    smallest = Resources(*map(min, zip(*capacities, strict=True)))
    return max(
        kind.count_missing(workers)
        if kind.count_fitting(smallest) * len(workers) < kind.count
        and not kind.is_served(workers)
        else 0
        for kind in kinds
    )
