"""What a pool's jobs ask for, and which workers could give it."""

from jujubebarrow.coordinators.active_runs import ActiveRun
from jujubebarrow.coordinators.arrival_rates import ArrivalRate
from jujubebarrow.coordinators.job_ledgers import JobLedger
from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.coordinators.worker_ledgers import WorkerLedger
from jujubebarrow.placements.job_orders import work
from jujubebarrow.workloads.identifiers import WorkerLife
from jujubebarrow.workloads.job_phases import JobPhase


class PoolDemand:
    """Sums over the jobs and workers of a pool.

    Args:
        state: State of the pool.
    """

    def __init__(self, state: PoolState):
        self._state = state
        self._arrivals = ArrivalRate()

    def note_job(self, job: JobLedger, now: float) -> None:
        """Take a job into account that has just been accepted."""
        if not job.record.is_long_running and job.record.repetitions == 1:
            self._arrivals.note(work(job), now)

    def count_demand(self, now: float) -> int:
        """Return what the pool needs, in thousandths of a core.

        That is what startable and running tasks ask for, or what keeps up with the
        jobs that arrive, whichever is more.

        Tasks whose team is at its limit, and jobs that can't be in time, count as
        well: machines that they could use are no less useful.
        """
        workers = self._state.workers.values()
        demand = sum(worker.reserved.cpu for worker in workers)
        for job in self._state.jobs.values():
            for _, _, step in job.startable():
                demand += len(step.waiting) * step.spec.reserved.cpu
        lasting = sum(
            run.reserved.cpu
            for worker in workers
            for run in worker.runs.values()
            if self._is_long_running(run)
        )
        arriving = lasting + round(1000 * self._arrivals.measure(now))
        return max(demand, arriving, self._count_spread())

    def _is_long_running(self, run: ActiveRun) -> bool:
        job = self._state.jobs.get(run.task.job)
        return job is None or job.record.is_long_running

    def _count_spread(self) -> int:
        """Return the capacity that long-running steps need to spread their tasks.

        It is 0 while there are workers enough.
        """
        workers = [w for w in self._state.workers.values() if w.entry is not None]
        needed = 0
        for job in self._state.jobs.values():
            for _, _, step in job.startable():
                if step.spec.long_running and step.spec.most_per_worker:
                    spread = -(-step.spec.count // step.spec.most_per_worker)
                    needed = max(needed, spread)
        if needed <= len(workers):
            return 0
        size = max((worker.capacity.cpu for worker in workers), default=0)
        return needed * size

    def count_pending(self) -> dict[str, int]:
        """Return the number of jobs without a started task, by queue."""
        pending: dict[str, int] = {}
        for job in self._state.jobs.values():
            count = pending.setdefault(job.record.queue, 0)
            if job.phase is JobPhase.QUEUED and not job.has_begun:
                pending[job.record.queue] = count + 1
        return pending

    def holds_long_running(self, worker: WorkerLedger) -> bool:
        """Return whether a long-running task may be at work on a worker."""
        return any(self._is_long_running(run) for run in worker.runs.values())

    def ends_soon(self, worker: WorkerLedger) -> bool:
        """Return whether a task that may be at work on a worker ends by itself."""
        return not all(self._is_long_running(run) for run in worker.runs.values())

    def list_lives(self, now: float) -> list[WorkerLife]:
        """Return the workers that take tasks, those with most room first."""
        workers = [w for w in self._state.workers.values() if w.takes_tasks(now)]
        workers.sort(key=lambda worker: -worker.free.cpu)
        return [worker.life for worker in workers]
