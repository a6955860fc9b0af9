"""Decisions of a pool's owner; performs no input or output."""

from math import inf

from jujubebarrow.coordinators.absent_workers import AbsentWorkers
from jujubebarrow.coordinators.acknowledgement_holds import AcknowledgementHolds
from jujubebarrow.coordinators.active_runs import ActiveRun, RunStage
from jujubebarrow.coordinators.coordinator_options import CoordinatorOptions
from jujubebarrow.coordinators.foreign_ends import ForeignEnd
from jujubebarrow.coordinators.job_changes import FinishedRunRef, JobChange
from jujubebarrow.coordinators.job_demands import JobDemand
from jujubebarrow.coordinators.job_progresses import (
    PHASE_KEY,
    JobProgress,
    estimate_document_bytes,
)
from jujubebarrow.coordinators.late_start_waits import LateStartWait
from jujubebarrow.coordinators.loss_recorders import LossRecorder
from jujubebarrow.coordinators.orders import RenewalOrder, StopOrder
from jujubebarrow.coordinators.planners import TaskPlanner
from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.coordinators.reconcilers import Reconciler
from jujubebarrow.coordinators.run_orders import UNRESPONSIVE_SECONDS, RunOrders
from jujubebarrow.coordinators.stall_detectors import StallDetector
from jujubebarrow.coordinators.throttlers import Throttler
from jujubebarrow.coordinators.wait_recorders import WaitRecorder
from jujubebarrow.coordinators.worker_views import CLOCK_RATE, WorkerView
from jujubebarrow.identifiers import JobId, PoolId
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.placements.fair_shares import FairShare
from jujubebarrow.placements.job_orders import JobOrder
from jujubebarrow.workloads.identifiers import FenceToken, WorkerId
from jujubebarrow.workloads.job_phases import JobPhase
from jujubebarrow.workloads.job_records import JobRecord
from jujubebarrow.workloads.task_keys import TaskKey
from jujubebarrow.workloads.worker_reports import (
    RenewalReport,
    WorkerEntry,
    WorkerState,
)

NEW_JOB_AGE_SECONDS = 1.0
"""Age up to which an added job counts towards the arrival rate of the pool; older jobs
were read from the store and do not show the present rate."""
HOLD_SECONDS = 2.0
"""Time after which refused progress is stored again."""
STOP_MARGIN_SECONDS = 0.4
"""Margin on top of the longest time that a worker takes to stop a run. The tasks of a
draining worker are stopped by the sum of both before the worker shuts down, so that
they can write a checkpoint."""


class PoolCoordinator:
    """Places the tasks of a pool and tracks their runs until the jobs are closed.

    Args:
        pool: Id of the pool.
        token: Fencing token of the pool's owner.
        options: Durations that the decisions depend on.
        owned_since: Time in seconds at which this instance took over the pool.
        log: Decision log.
        former_owner_until: Time in seconds until which a former owner may send orders.
    """

    def __init__(
        self,
        pool: PoolId,
        token: FenceToken,
        options: CoordinatorOptions,
        owned_since: float,
        log: DecisionLog,
        former_owner_until: float = float("-inf"),
    ):
        self.state = PoolState(pool, token, options, owned_since, former_owner_until)
        self._log = log
        self._order = JobOrder()
        self._waits = WaitRecorder(log)
        self._late_start_wait = LateStartWait(self.state)
        self.absent_workers = AbsentWorkers(self.state)
        self.fair_share = FairShare()
        self._planner = TaskPlanner(
            self.state, self._order, self.fair_share, self._waits, log
        )
        self._losses = LossRecorder(self.state, log)
        self._holds = AcknowledgementHolds(self.state, log)
        self._reconciler = Reconciler(self.state, self._losses, self._holds, log)
        self._throttler = Throttler(self.state)
        self.orders = RunOrders(self.state, self._reconciler)
        self.demand = JobDemand(self.state, self._order)
        self._stall_detector = StallDetector(self.state, log)

    def add_job(
        self,
        record: JobRecord,
        progress: dict[str, object] | None,
        now: float,
        age: float = 0.0,
    ) -> bool:
        """Add an accepted job; return False if the job was added before.

        Args:
            record: Stored record of the job.
            progress: Stored progress; None if no owner has handled the job yet.
            now: Time in seconds.
            age: Estimated time in seconds since the acceptance of the job; 0 for a job
                that was accepted just now.
        """
        if record.job in self.state.jobs:
            return False
        job = JobProgress(record, now - age)
        self.state.add_job(job)
        self._order.record_job(job)
        if age < NEW_JOB_AGE_SECONDS:
            self.demand.record_arrival(job, now)
        if record.outcome is not None:
            # Such a job has no active run and must never start again, even if its
            # progress was deleted between two reads.
            job.restore_closed(record.outcome)
        elif progress is None:
            self.state.mark_changed(job)
        else:
            self._restore_job(job, progress)
        return True

    def _restore_job(self, job: JobProgress, progress: dict[str, object]) -> None:
        job.restore(progress)
        for run in job.active_runs():
            self.state.add_run(job, run)
        self.state.block_former_starts(job)
        if job.phase.is_final and not any(job.active_runs()):
            # An earlier build has closed the job and left its record as it was.
            self.state.mark_changed(job)

    def cancel_job(self, job_id: JobId) -> None:
        """Cancel a job and request the stop of its runs."""
        job = self.state.jobs.get(job_id)
        if job is None or job.phase.is_final:
            return
        job.cancel()
        self._log.write("job_cancelled", job=job_id)
        self._stop_runs(job)
        self.state.mark_changed(job)

    def record_done_elsewhere(self, task: TaskKey) -> None:
        """Record that a worker of another pool has done a task of this pool."""
        self._reconciler.record_done_elsewhere(task)

    def pop_foreign_ends(self) -> list[ForeignEnd]:
        """Remove and return the ends of tasks of unknown jobs."""
        ends, self.state.foreign_ends = self.state.foreign_ends, []
        return ends

    def handle_recorded_end(self, finished: FinishedRunRef) -> None:
        """Release the acknowledgement of an end that is stored."""
        worker = self.state.workers.get(WorkerId(finished.incarnation[0]))
        if worker is not None and worker.incarnation == finished.incarnation:
            worker.mark_recorded(finished.number)

    def _stop_runs(self, job: JobProgress) -> None:
        for run in list(job.active_runs()):
            self.state.request_stop(run)

    def handle_registration(self, entry: WorkerEntry, now: float) -> None:
        """Handle the registration, or a changed registration, of a worker."""
        self.state.ended_workers.observe_registration(entry)
        if entry.worker in self.state.ended_workers:
            return
        worker = self.state.ensure_worker(entry.worker)
        worker.entry = entry
        worker.address = entry.address
        worker.warmed_up_at = now + entry.warm_up
        if entry.started_at_ms > worker.started_at_ms:
            self._reconciler.handle_restart(worker, entry.started_at_ms, now)
        self.state.record_registration(worker, now)
        self.state.replace_refused_token(worker)
        is_draining = entry.state is WorkerState.DRAINING
        if is_draining and not worker.draining_since:
            worker.draining_since = now
            self._log.write(
                "worker_draining", worker=entry.worker, remaining=entry.remaining
            )
            self._stop_long_running(worker)
        elif not is_draining:
            worker.draining_since = 0.0

    def _stop_long_running(self, worker: WorkerView) -> None:
        for run in list(worker.runs.values()):
            if run.is_long_running and run.task.job in self.state.jobs:
                self.state.request_stop(run)

    def handle_deregistration(self, worker_id: WorkerId) -> None:
        """Handle the removal of a worker's registration."""
        worker = self.state.workers.get(worker_id)
        if worker is None or worker.entry is None:
            return
        worker.entry = None
        self._log.write("worker_gone", worker=worker_id, runs=len(worker.runs))

    def handle_worker_end(self, worker_id: WorkerId, reason: str) -> None:
        """Handle that a worker has ended and that its machine gets another one.

        The next plan releases its runs. No task waits for it any more, unless it is
        seen to start again under its id.

        Args:
            worker_id: Id of the worker.
            reason: Evidence of the end, for the log.
        """
        if worker_id in self.state.ended_workers:
            return
        worker = self.state.workers.get(worker_id)
        started_at_ms = worker.started_at_ms if worker is not None else 0
        self.state.ended_workers.add(worker_id, started_at_ms or None)
        self._log.write(
            "worker_ended",
            worker=worker_id,
            reason=reason,
            runs=len(worker.runs) if worker is not None else 0,
        )

    def plan(
        self, now: float, wall: float, sendable_starts: float = inf
    ) -> list[ActiveRun]:
        """Handle lost and draining workers, then plan runs for startable tasks.

        Args:
            now: Time in seconds.
            wall: Unix time in seconds.
            sendable_starts: Number of starts that can be sent soon, in addition to
                those of recorded runs.
        """
        self._remove_ended_workers(now)
        for worker in list(self.state.workers.values()):
            worker.prune_unacknowledged_starts(now)
            self._check_worker(worker, now)
        self._holds.release(now)
        self.state.release_held_jobs(now)
        run_limit = sendable_starts
        if run_limit < inf:
            run_limit -= self.state.count_planned_runs()
        return self._planner.plan(now, wall, run_limit)

    def _remove_ended_workers(self, now: float) -> None:
        """Remove the state of the workers that have ended, and release their runs."""
        ended = [
            name for name in self.state.workers if name in self.state.ended_workers
        ]
        for name in ended:
            worker = self.state.workers[name]
            for run in list(worker.runs.values()):
                self._losses.record_loss(worker, run)
                reason = "worker ended"
                self._reconciler.record_unreported_end(worker, run, reason, now)
            del self.state.workers[name]

    def _check_worker(self, worker: WorkerView, now: float) -> None:
        """Expire the runs of a lost worker and stop the runs of a draining worker.

        Removes the state of a worker that is not registered, has no runs and whose
        lease has expired.
        """
        if now > worker.timely_lease_end or worker.is_absent:
            self._expire_runs(worker, now)
        self._release_unsent_runs(worker, now)
        self._release_absent_runs(worker, now)
        if (
            worker.entry is None
            and not worker.runs
            and worker.is_lease_expired(now)
            and worker.late_starts_end <= now
        ):
            del self.state.workers[worker.worker]
            return
        if worker.draining_since and worker.entry is not None:
            end = worker.draining_since + worker.entry.remaining
            if now > end - STOP_MARGIN_SECONDS - self.state.options.stop_grace:
                for run in list(worker.runs.values()):
                    self.state.request_stop(run)

    def _expire_runs(self, worker: WorkerView, now: float) -> None:
        for run in list(worker.runs.values()):
            may_be_sent = (
                run.is_start_sent or worker.entry is None or worker.unresponsive_since
            )
            if may_be_sent and self._is_lease_over(worker, run, now):
                self._expire_run(worker, run, now)

    def _is_lease_over(self, worker: WorkerView, run: ActiveRun, now: float) -> bool:
        """Return whether an unreachable worker has stopped a run with its lease.

        A worker that no machine runs has stopped it before.

        A worker that is not registered has most likely crashed, so that no order is
        executed late there, unless other workers have left orders without a response. A
        long-running task waits for such an order only until its absence counts.
        """
        if self.absent_workers.has_ended(worker, run):
            return True
        if worker.is_lease_expired(now) and worker.is_unreachable_after_lease:
            return True
        if worker.entry is not None or not worker.is_lost_after_timely_lease(now):
            return False
        if not self.state.may_orders_be_late(now):
            return True
        job = self.state.jobs.get(run.task.job)
        task = job.find_task(run.task) if job is not None else None
        return (
            job is not None
            and task is not None
            and run.is_long_running
            and now >= self._late_start_wait.find_absence_end(job, task)
        )

    def _release_unsent_runs(self, worker: WorkerView, now: float) -> None:
        """Release the runs of an unresponsive worker whose start was never sent.

        No order is sent to an unresponsive worker, so that these runs would wait for
        the worker for as long as it stays registered.
        """
        since = worker.unresponsive_since
        if not since or now - since < UNRESPONSIVE_SECONDS:
            return
        for run in list(worker.runs.values()):
            if run.stage is RunStage.RECORDED and not run.is_start_sent:
                reason = "start not sent, worker unresponsive"
                self._reconciler.record_unreported_end(worker, run, reason, now)

    def _release_absent_runs(self, worker: WorkerView, now: float) -> None:
        """Release the long-running runs of a restarted worker that is gone.

        The lease that a late start grants to an incarnation which no owner has reached
        ends long after the absence of the tasks counts.
        """
        if (
            now < self.state.former_leases_end
            or worker.entry is not None
            or worker.has_seen_token
            or not worker.unresponsive_since
        ):
            return
        for run in list(worker.runs.values()):
            job = self.state.jobs.get(run.task.job)
            task = job.find_task(run.task) if job is not None else None
            if job is None or task is None or not run.is_long_running:
                continue
            if run.stage is RunStage.PLANNED or not run.has_moved:
                continue
            if now >= self._late_start_wait.find_absence_end(job, task):
                self._losses.record_loss(worker, run)
                reason = "restarted worker gone"
                self._reconciler.record_unreported_end(worker, run, reason, now)

    def _expire_run(self, worker: WorkerView, run: ActiveRun, now: float) -> None:
        if run.stage is RunStage.PLANNED:
            return
        # The worker may execute an unacknowledged start even after it has restarted. A
        # worker that is not registered has not restarted, as far as anybody knows.
        is_gone = worker.entry is None and run.is_long_running
        may_start = bool(run.unacknowledged_starts) and now < run.late_start_until
        if run.unacknowledged_starts and worker.entry is not None:
            # The lease of the run begins with a start that is executed late.
            length = self.state.options.longest_lease / CLOCK_RATE
            may_start = now < run.late_start_until + length
        if is_gone or not may_start:
            is_absent = self.absent_workers.has_ended(worker, run)
            reason = "no machine runs the worker" if is_absent else "lease expired"
            self._losses.record_loss(worker, run)
            self._reconciler.record_unreported_end(worker, run, reason, now)

    def handle_stored_changes(
        self, changes: list[JobChange], now: float, wall: float
    ) -> None:
        """Release the starts and acknowledgements that waited for stored changes.

        Also stops the runs of the jobs that reached a final phase and closes these
        jobs.
        """
        for change in changes:
            job = change.progress
            job.stored_phase = JobPhase(change.document[PHASE_KEY])
            for finished in change.finished_runs:
                self.handle_recorded_end(finished)
            for run in change.runs_to_start:
                self._release_start(job, run, now)
            if change.runs_to_start:
                self._log_starts(job, change.runs_to_start, now)
            if job.phase.is_final:
                self._stop_runs(job)
                self._close_job(job, now, wall)

    def _log_starts(
        self, job: JobProgress, starts: list[ActiveRun], now: float
    ) -> None:
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

    def _close_job(self, job: JobProgress, now: float, wall: float) -> None:
        if job.closed_at:
            return
        job.closed_at = wall
        self._waits.remove_job(job.record.job)
        self._log.write(
            "job_closed",
            job=job.record.job,
            phase=job.phase.value,
            age=round(now - job.accepted_at, 3),
            objective=round(job.objective, 3),
        )

    def _release_start(self, job: JobProgress, run: ActiveRun, now: float) -> None:
        task = job.find_task(run.task)
        if task is None or task.active is not run:
            return
        if job.phase.is_final or task.is_done:
            self.state.release_run(job, task, now)
            self.state.mark_changed(job)
            return
        run.stage = RunStage.RECORDED
        self.state.starts.append(run)

    def handle_refused_changes(self, changes: list[JobChange], now: float) -> None:
        """Discard planned runs that were not stored; mark the jobs as changed again."""
        for change in changes:
            job = change.progress
            for run in change.runs_to_start:
                task = job.find_task(run.task)
                if task is not None and task.active is run:
                    self.state.release_run(job, task, now)
            self.state.mark_changed(job)
            for finished in change.finished_runs:
                self.state.mark_changed(job, finished)

    def hold_refused_change(self, change: JobChange, detail: str, now: float) -> None:
        """Set a job aside whose progress the store refuses for its content.

        The other jobs of the queue go on. The ends of the job's runs may make its
        progress acceptable, so that it is stored again after some time.

        Args:
            change: Refused change.
            detail: Cause of the refusal.
            now: Time in seconds.
        """
        job = change.progress
        self.handle_refused_changes([change], now)
        self.state.hold_job(job, now + HOLD_SECONDS)
        self._log.write(
            "progress_refused",
            job=job.record.job,
            queue=job.record.queue,
            detail=detail,
            bytes=estimate_document_bytes(change.document),
            seconds=HOLD_SECONDS,
        )

    def make_renewal(self, worker: WorkerView, wait: float, now: float) -> RenewalOrder:
        """Return the order that renews the lease of a worker's runs.

        Args:
            worker: Worker whose lease is renewed.
            wait: Seconds for which the worker may delay its response until a run
                finishes.
            now: Time in seconds.
        """
        # An incarnation that is not known yet may answer after a failure, and the
        # position of its predecessor would acknowledge runs that it has not listed. It
        # may also execute late starts again, which repeat only unacknowledged runs. A
        # full list is acknowledged all the same, since it leaves out other ends.
        # The ends of a worker in another pool are for the owner of that pool to store.
        may_concern_others = not worker.is_entry_present
        is_withheld = worker.unresponsive_since or (
            worker.lists_all_ends and (may_concern_others or worker.may_start_late(now))
        )
        # A position that the incarnation knows is not repeated: a renewal without a
        # response may acknowledge ends of the next incarnation that nobody has seen.
        is_needed = worker.has_unconfirmed_acknowledgement and not is_withheld
        acknowledged = worker.acknowledgeable if is_needed else 0
        if acknowledged:
            worker.record_acknowledgement_sent(now)
        deadline = None
        if not worker.unresponsive_since:
            # A renewal for an unresponsive worker would only delay the lease expiry.
            options = self.state.options
            deadline = worker.issue_lease(now, options.lease, options.late_order_window)
        return RenewalOrder(
            worker=worker.worker,
            address=worker.address,
            token=worker.token,
            acknowledged=acknowledged,
            deadline=deadline,
            wait=wait,
        )

    def handle_renewal_report(
        self, worker: WorkerView, report: RenewalReport, sent_at: float, now: float
    ) -> list[StopOrder]:
        """Apply a worker's report; return stop orders for its orphaned runs."""
        if not report.has_open_copy:
            worker.record_renewal_answer(sent_at)
        orphans = self._reconciler.reconcile(worker, report, sent_at, now)
        self._stall_detector.check_worker(worker, now)
        self.state.speed_changes.extend(self._throttler.adjust_speed(worker))
        return orphans

    def handle_renewal_failure(self, worker: WorkerView, now: float) -> None:
        """Handle a lease renewal to which the worker gave no usable response."""
        worker.record_failure(now)
        self.state.replace_token_after_silence(worker)

    def remove_closed_jobs(self, wall: float) -> list[JobProgress]:
        """Remove and return closed jobs whose retention time is over.

        A closed job stays while one of its runs may still be executing. The retention
        time of a job that another owner has closed starts with the first call, since
        the clocks of two instances differ.
        """
        for job in self.state.jobs.values():
            if job.is_closed_in_store and not job.closed_at:
                job.closed_at = wall
        closed_before = wall - self.state.options.retention
        expired = [
            job
            for job in self.state.jobs.values()
            if job.closed_at
            and job.closed_at < closed_before
            and not any(job.active_runs())
        ]
        for job in expired:
            self.state.remove_job(job)
            self.state.advice.remove_job(job.record.job)
        return expired
