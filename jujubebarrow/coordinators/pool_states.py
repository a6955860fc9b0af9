"""Jobs, workers and unsaved changes of one pool."""

from collections import defaultdict

from jujubebarrow.coordinators.active_runs import ActiveRun, RunStage
from jujubebarrow.coordinators.job_changes import FinishedRunRef, JobChange
from jujubebarrow.coordinators.job_ledgers import JobLedger
from jujubebarrow.coordinators.orders import StopOrder
from jujubebarrow.coordinators.recorded_leases import RecordedLease
from jujubebarrow.coordinators.task_states import TaskState
from jujubebarrow.coordinators.terms import CoordinatorTerms
from jujubebarrow.coordinators.worker_ledgers import CLOCK_RATE, WorkerLedger
from jujubebarrow.identifiers import JobId, PoolId, QueueId
from jujubebarrow.limits.grant_books import GrantBook
from jujubebarrow.placements.advice_books import AdviceRegistry
from jujubebarrow.workloads.identifiers import FenceToken, WorkerId


class PoolState:
    """State shared by the decisions on one pool.

    Args:
        pool: Pool.
        token: Fencing token of its owner.
        terms: Times.
        taken_at: Time in seconds at which the pool was taken over.
    """

    def __init__(
        self,
        pool: PoolId,
        token: FenceToken,
        terms: CoordinatorTerms,
        taken_at: float,
    ):
        self.pool = pool
        self.token = token
        self.terms = terms
        self.taken_at = taken_at
        self.jobs: dict[JobId, JobLedger] = {}
        self.workers: dict[WorkerId, WorkerLedger] = {}
        self.grants = GrantBook()
        self.advice = AdviceRegistry()
        self.starts: list[ActiveRun] = []
        self.stops: list[ActiveRun] = []
        self.speed_changes: list[ActiveRun] = []
        self.late_stops: list[StopOrder] = []
        self.recorded_leases: dict[WorkerId, RecordedLease] = {}
        self._changed: dict[QueueId, dict[JobId, None]] = defaultdict(dict)
        self._finished_runs: dict[JobId, list[FinishedRunRef]] = defaultdict(list)

    def ensure_worker(self, worker: WorkerId) -> WorkerLedger:
        """Return a worker's ledger, made if it is new."""
        ledger = self.workers.get(worker)
        if ledger is None:
            terms = self.terms
            lease = terms.longest_lease / CLOCK_RATE
            expiry = self.taken_at + terms.displaced_hold + lease
            ledger = WorkerLedger(worker, expiry)
            self.workers[worker] = ledger
            recorded = self.recorded_leases.get(worker)
            if recorded is not None:
                ledger.restore_lease(recorded)
        return ledger

    def note_recorded_leases(self, leases: dict[WorkerId, RecordedLease]) -> None:
        """Take over which leases are, or may be, on record.

        Args:
            leases: Leases of silent workers; the other workers may get leases.
        """
        self.recorded_leases = leases
        for name, worker in self.workers.items():
            recorded = leases.get(name)
            if recorded is None:
                worker.is_lease_recorded = False
            elif not worker.is_lease_recorded:
                worker.restore_lease(recorded)

    def add_run(self, job: JobLedger, run: ActiveRun) -> None:
        """Reserve what a run needs."""
        self.ensure_worker(run.worker).add_run(run)
        self.grants.add(job.record.team, run.usage)

    def release_run(self, job: JobLedger, task: TaskState, now: float) -> None:
        """Free what the active run of a task has reserved."""
        run = task.active
        if run is None:
            return
        task.active = None
        task.absent_since = now
        worker = self.workers.get(run.worker)
        if worker is not None:
            worker.remove_run(run)
        self.grants.remove(job.record.team, run.usage)

    def request_stop(self, run: ActiveRun) -> None:
        """Have a run stopped; its resources stay reserved until it has ended."""
        if run.stage is RunStage.STOPPING:
            return
        if run.stage is RunStage.PLANNED:
            return
        run.stage = RunStage.STOPPING
        run.stop_acknowledged_at = 0.0
        self.stops.append(run)

    def mark_changed(self, job: JobLedger, end: FinishedRunRef | None = None) -> None:
        """Note that a job's progress has to be stored."""
        self._changed[job.record.queue][job.record.job] = None
        if end is not None:
            self._finished_runs[job.record.job].append(end)

    def changed_queues(self) -> list[QueueId]:
        """Return the queues with progress to be stored."""
        return [queue for queue, jobs in self._changed.items() if jobs]

    def take_changes(self, queue: QueueId, most: int) -> list[JobChange]:
        """Return, and forget, the unsaved changes of a queue's jobs.

        Args:
            queue: Queue.
            most: Most jobs.
        """
        names = list(self._changed[queue])[:most]
        changes = []
        for name in names:
            del self._changed[queue][name]
            ends = self._finished_runs.pop(name, [])
            ledger = self.jobs.get(name)
            if ledger is not None:
                starts = [
                    run for run in ledger.active_runs() if run.stage is RunStage.PLANNED
                ]
                changes.append(JobChange(ledger, ledger.to_document(), starts, ends))
        return changes
