"""Decisions of the owner of one pool, without input or output."""

from jujubebarrow.coordinators.active_runs import ActiveRun, RunStage
from jujubebarrow.coordinators.job_changes import JobChange
from jujubebarrow.coordinators.job_ledgers import PHASE, JobLedger
from jujubebarrow.coordinators.orders import HoldOrder, StopOrder
from jujubebarrow.coordinators.pacers import Throttler
from jujubebarrow.coordinators.planners import TaskPlanner
from jujubebarrow.coordinators.pool_demands import PoolDemand
from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.coordinators.progress_watchers import StallDetector
from jujubebarrow.coordinators.reconcilers import Reconciler
from jujubebarrow.coordinators.run_orders import RunOrders
from jujubebarrow.coordinators.terms import CoordinatorTerms
from jujubebarrow.coordinators.worker_ledgers import WorkerLedger
from jujubebarrow.identifiers import JobId, PoolId
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.placements.job_orders import JobOrder, objective
from jujubebarrow.workloads.identifiers import FenceToken, WorkerId
from jujubebarrow.workloads.job_phases import JobPhase
from jujubebarrow.workloads.job_records import JobRecord
from jujubebarrow.workloads.worker_reports import HoldReport, WorkerEntry, WorkerState

NEW_JOB_AGE_SECONDS = 1.0
"""Seconds up to which a job that becomes known counts as arrival_demand now."""
STOP_MARGIN_SECONDS = 0.4
"""Seconds before a worker ends at which its tasks are stopped for a checkpoint."""


class PoolCoordinator:
    """Places a pool's tasks and follows them to their end.

    Args:
        pool: Pool.
        token: Fencing token of the owner.
        terms: Times.
        taken_at: Time in seconds at which the pool was taken over.
        log: Log of decisions.
    """

    def __init__(
        self,
        pool: PoolId,
        token: FenceToken,
        terms: CoordinatorTerms,
        taken_at: float,
        log: DecisionLog,
    ):
        self.state = PoolState(pool, token, terms, taken_at)
        self._log = log
        self._order = JobOrder()
        self._planner = TaskPlanner(self.state, self._order)
        self._reconciler = Reconciler(self.state, log)
        self._throttler = Throttler(self.state)
        self.orders = RunOrders(self.state, self._reconciler)
        self.demand = PoolDemand(self.state, self._order)
        self._stall_detector = StallDetector(self.state, log)

    def add_job(
        self,
        record: JobRecord,
        progress: dict[str, object] | None,
        now: float,
        age: float = 0.0,
    ) -> bool:
        """Take over an accepted job; return whether it was new.

        Args:
            record: Job.
            progress: Stored progress; None if no owner has seen the job yet.
            now: Time in seconds.
            age: Time in seconds since its acceptance.
        """
        if record.job in self.state.jobs:
            return False
        job = JobLedger(record, now - age)
        self.state.jobs[record.job] = job
        self._order.record_job(job)
        if age < NEW_JOB_AGE_SECONDS:
            self.demand.record_arrival(job, now)
        if progress is None:
            self.state.mark_changed(job)
        else:
            job.restore(progress, now)
            for run in job.active_runs():
                self.state.add_run(job, run)
        return True

    def cancel_job(self, name: JobId) -> None:
        """Stop a job that its caller has cancelled."""
        job = self.state.jobs.get(name)
        if job is None or job.phase.is_final:
            return
        job.cancel()
        self._log.write("job_cancelled", job=name)
        self._stop_runs(job)
        self.state.mark_changed(job)

    def _stop_runs(self, job: JobLedger) -> None:
        for run in list(job.active_runs()):
            self.state.request_stop(run)

    def note_worker(self, entry: WorkerEntry, now: float) -> None:
        """Take over a worker's registration."""
        worker = self.state.ensure_worker(entry.worker)
        worker.entry = entry
        worker.address = entry.address
        worker.warmed_up_at = now + entry.cold
        if entry.born > worker.born:
            self._reconciler.handle_restart(worker, entry.born, now)
        draining = entry.state is WorkerState.DRAINING
        if draining and not worker.draining_since:
            worker.draining_since = now
            self._log.write(
                "worker_draining", worker=entry.worker, remaining=entry.remaining
            )
            self._stop_long_running(worker)
        elif not draining:
            worker.draining_since = 0.0

    def _stop_long_running(self, worker: WorkerLedger) -> None:
        for run in list(worker.runs.values()):
            job = self.state.jobs.get(run.task.job)
            if job is not None and job.record.is_long_running:
                self.state.request_stop(run)

    def note_worker_gone(self, name: WorkerId) -> None:
        """Note that a worker is no longer registered."""
        worker = self.state.workers.get(name)
        if worker is None or worker.entry is None:
            return
        worker.entry = None
        self._log.write("worker_gone", worker=name, runs=len(worker.runs))

    def plan(self, now: float, wall: float) -> list[ActiveRun]:
        """Place what can be placed, and end what has become certain.

        Args:
            now: Time in seconds.
            wall: Unix time in seconds.
        """
        for worker in list(self.state.workers.values()):
            self._check_worker(worker, now)
        return self._planner.plan(now, wall)

    def _check_worker(self, worker: WorkerLedger, now: float) -> None:
        if (
            worker.runs
            and worker.is_lease_expired(now)
            and worker.is_unreachable_after_lease
        ):
            for run in list(worker.runs.values()):
                if run.sent or worker.entry is None:
                    self._expire_run(worker, run, now)
        if worker.entry is None and not worker.runs and worker.is_lease_expired(now):
            del self.state.workers[worker.worker]
            return
        if worker.draining_since and worker.entry is not None:
            end = worker.draining_since + worker.entry.remaining
            if now > end - STOP_MARGIN_SECONDS - self.state.terms.stop_grace:
                for run in list(worker.runs.values()):
                    self.state.request_stop(run)

    def _expire_run(self, worker: WorkerLedger, run: ActiveRun, now: float) -> None:
        if run.stage is RunStage.PLANNED:
            return
        # A start without an answer could still be carried out by a later life.
        if not (run.unanswered and now < run.late_start_until):
            self._reconciler.record_unreported_end(worker, run, "lease over", now)

    def commit_done(self, changes: list[JobChange], now: float, wall: float) -> None:
        """Release what had to wait until changes were stored."""
        for change in changes:
            job = change.ledger
            job.stored_phase = JobPhase(change.document[PHASE])
            for end in change.ends:
                worker = self.state.workers.get(WorkerId(end.life[0]))
                if worker is not None and worker.life == end.life:
                    worker.mark_recorded(end.number)
            for run in change.starts:
                self._release_start(job, run, now)
            if change.starts:
                self._log_starts(job, change.starts, now)
            if job.phase.is_final:
                self._stop_runs(job)
                self._close_job(job, now, wall)

    def _log_starts(self, job: JobLedger, starts: list[ActiveRun], now: float) -> None:
        self._log.write(
            "runs_recorded",
            job=job.record.job,
            age=round(now - job.accepted_at, 3),
            runs=[
                f"{run.task.occurrence}.{run.task.step}.{run.task.index}"
                f"#{run.run}@{run.worker}"
                for run in starts
            ],
        )

    def _close_job(self, job: JobLedger, now: float, wall: float) -> None:
        if job.closed_at:
            return
        job.closed_at = wall
        self._log.write(
            "job_closed",
            job=job.record.job,
            phase=job.phase.value,
            age=round(now - job.accepted_at, 3),
            objective=round(objective(job), 3),
        )

    def _release_start(self, job: JobLedger, run: ActiveRun, now: float) -> None:
        task = job.find(run.task)
        if task is None or task.active is not run:
            return
        if job.phase.is_final:
            self.state.release_run(job, task, now)
            self.state.mark_changed(job)
            return
        run.stage = RunStage.RECORDED
        self.state.starts.append(run)

    def commit_refused(self, changes: list[JobChange], now: float) -> None:
        """Withdraw planned runs whose record was not stored."""
        for change in changes:
            job = change.ledger
            for run in change.starts:
                task = job.find(run.task)
                if task is not None and task.active is run:
                    self.state.release_run(job, task, now)
            self.state.mark_changed(job)
            for end in change.ends:
                self.state.mark_changed(job, end)

    def make_hold(self, worker: WorkerLedger, wait: float, now: float) -> HoldOrder:
        """Return the order that extends the lease of a worker's runs.

        Args:
            worker: Worker.
            wait: How long in seconds it may wait for an end.
            now: Time in seconds.
        """
        deadline = None
        if not worker.failed_since:
            # Attempts on a silent worker would put off the end of its lease.
            deadline = worker.issue_lease(now, self.state.terms.lease)
        return HoldOrder(
            worker=worker.worker,
            address=worker.address,
            token=self.state.token,
            acknowledged=worker.acknowledged,
            deadline=deadline,
            wait=wait,
        )

    def note_hold(
        self, worker: WorkerLedger, report: HoldReport, sent_at: float, now: float
    ) -> list[StopOrder]:
        """Take over a worker's lists; return stops of runs without a record."""
        orphans = self._reconciler.reconcile(worker, report, sent_at, now)
        self._stall_detector.check_worker(worker, now)
        self.state.speed_changes.extend(self._throttler.adjust_speed(worker))
        return orphans

    def note_hold_failed(self, worker: WorkerLedger, now: float) -> None:
        """Note that a worker did not answer."""
        worker.record_failure(now)

    def forget_closed(self, wall: float) -> list[JobLedger]:
        """Return, and forget, closed jobs whose outcome has been kept long enough."""
        closed_before = wall - self.state.terms.retention
        expired = [
            job
            for job in self.state.jobs.values()
            if job.closed_at
            and job.closed_at < closed_before
            and not any(job.active_runs())
        ]
        for job in expired:
            del self.state.jobs[job.record.job]
            self.state.advice.forget_job(job.record.job)
        return expired
