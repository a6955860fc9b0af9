"""Decisions of the owner of one pool, without input or output."""

from jujubebarrow.coordinators.active_runs import ActiveRun, RunStage
from jujubebarrow.coordinators.job_changes import JobChange
from jujubebarrow.coordinators.job_ledgers import PHASE, JobLedger
from jujubebarrow.coordinators.order_results import OrderOutcome, OrderResult
from jujubebarrow.coordinators.orders import HoldOrder, PaceOrder, StartOrder, StopOrder
from jujubebarrow.coordinators.pacers import Pacer
from jujubebarrow.coordinators.planners import TaskPlanner
from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.coordinators.progress_watchers import ProgressWatcher
from jujubebarrow.coordinators.reconcilers import Reconciler
from jujubebarrow.coordinators.terms import CoordinatorTerms
from jujubebarrow.coordinators.worker_ledgers import WorkerLedger
from jujubebarrow.identifiers import JobId, PoolId
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.placements.job_orders import objective
from jujubebarrow.workloads.identifiers import FenceToken, WorkerId, WorkerLife
from jujubebarrow.workloads.job_phases import JobPhase
from jujubebarrow.workloads.job_records import JobRecord
from jujubebarrow.workloads.worker_reports import HoldReport, WorkerEntry, WorkerState

STOP_MARGIN = 0.4
"""Seconds before a worker ends at which its tasks are stopped for a checkpoint."""
SILENCE = 1.0
"""Seconds without any answer of a worker after which a lost order is taken as a sign
that it is down; single orders are lost on workers that are well."""
REFUSALS_BEFORE_STOP = 5
"""Unanswered starts of a run after which it is given up on that worker."""


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
        self.is_displaced = False
        self._log = log
        self._planner = TaskPlanner(self.state)
        self._reconciler = Reconciler(self.state, log)
        self._pacer = Pacer(self.state)
        self._watcher = ProgressWatcher(self.state, log)

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
        self._planner.learn(job)
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
        worker = self.state.get_worker(entry.worker)
        worker.entry = entry
        worker.address = entry.address
        worker.warm_at = now + entry.cold
        if entry.born > worker.born:
            self._reconciler.begin_life(worker, entry.born, now)
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
        if worker.runs and worker.is_lease_over(now):
            for run in list(worker.runs.values()):
                if run.sent or worker.entry is None:
                    self._end_after_lease(worker, run, now)
        if worker.entry is None and not worker.runs and worker.is_lease_over(now):
            del self.state.workers[worker.worker]
            return
        if worker.draining_since and worker.entry is not None:
            end = worker.draining_since + worker.entry.remaining
            if now > end - STOP_MARGIN - self.state.terms.stop_grace:
                for run in list(worker.runs.values()):
                    self.state.request_stop(run)

    def _end_after_lease(
        self, worker: WorkerLedger, run: ActiveRun, now: float
    ) -> None:
        if run.stage is RunStage.PLANNED:
            return
        # A start without an answer could still be carried out by a later life.
        if not (run.unanswered and now < run.open_until):
            self._reconciler.note_over(worker, run, "lease over", now)

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
                self._release(job, run, now)
            if change.starts:
                self._log_starts(job, change.starts, now)
            if job.phase.is_final:
                self._stop_runs(job)
                self._close(job, now, wall)

    def _log_starts(self, job: JobLedger, starts: list[ActiveRun], now: float) -> None:
        self._log.write(
            "runs_recorded",
            job=job.record.job,
            age=round(now - job.known_at, 3),
            runs=[
                f"{run.task.occurrence}.{run.task.step}.{run.task.index}"
                f"#{run.run}@{run.worker}"
                for run in starts
            ],
        )

    def _close(self, job: JobLedger, now: float, wall: float) -> None:
        if job.closed_at:
            return
        job.closed_at = wall
        self._log.write(
            "job_closed",
            job=job.record.job,
            phase=job.phase.value,
            age=round(now - job.known_at, 3),
            objective=round(objective(job), 3),
        )

    def _release(self, job: JobLedger, run: ActiveRun, now: float) -> None:
        task = job.find(run.task)
        if task is None or task.active is not run:
            return
        if job.phase.is_final:
            self.state.end_run(job, task, now)
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
                    self.state.end_run(job, task, now)
            self.state.mark_changed(job)
            for end in change.ends:
                self.state.mark_changed(job, end)

    def take_starts(self) -> list[ActiveRun]:
        """Return, and forget, the runs to be started."""
        starts, self.state.starts = self.state.starts, []
        return [run for run in starts if run.stage is RunStage.RECORDED]

    def take_stops(self) -> list[ActiveRun]:
        """Return, and forget, the runs to be stopped."""
        stops, self.state.stops = self.state.stops, []
        return stops

    def is_active(self, run: ActiveRun) -> bool:
        """Return whether a run may still be or come to work."""
        worker = self.state.workers.get(run.worker)
        return worker is not None and worker.runs.get((run.task, run.run)) is run

    def make_start(self, run: ActiveRun, now: float) -> StartOrder | None:
        """Return the order to start a run, or None if it must not be sent.

        Args:
            run: Run on record.
            now: Time in seconds.
        """
        job = self.state.jobs.get(run.task.job)
        task = job.find(run.task) if job is not None else None
        worker = self.state.workers.get(run.worker)
        if job is None or task is None or worker is None or task.active is not run:
            return None
        if run.stage is not RunStage.RECORDED or run.life != worker.life:
            return None
        if worker.failed_since:
            # Every attempt would put off the time at which its lease is over.
            return None
        deadline = worker.give_lease(now, self.state.terms.lease)
        if deadline is None:
            return None
        return StartOrder(
            worker=worker.worker,
            address=worker.address,
            task=run.task,
            run=run.run,
            payload=job.record.payload,
            deadline=deadline,
            token=self.state.token,
            checkpoint=task.checkpoint,
            ticket=run.ticket,
        )

    def note_start(
        self, run: ActiveRun, result: OrderResult, sent_at: float, now: float
    ) -> None:
        """Take over the answer to a start."""
        worker = self._note_answer(run, result, now)
        if worker is None or (run.task, run.run) not in worker.runs:
            return
        outcome = result.outcome
        if outcome in (OrderOutcome.ACCEPTED, OrderOutcome.OUTDATED):
            if run.stage is RunStage.RECORDED:
                run.stage = RunStage.CONFIRMED
                run.confirmed_at = now
                run.progressed_at = now
        elif outcome is OrderOutcome.UNANSWERED:
            run.unanswered += 1
            run.open_until = sent_at + self.state.terms.open_start
            if run.unanswered >= REFUSALS_BEFORE_STOP and not worker.failed_since:
                self.state.request_stop(run)
        elif outcome is OrderOutcome.FENCED:
            self.is_displaced = True
        elif outcome is not OrderOutcome.LEASE_OVER:
            self._note_refused_start(worker, run, result, now)

    def _note_refused_start(
        self, worker: WorkerLedger, run: ActiveRun, result: OrderResult, now: float
    ) -> None:
        if run.stage is not RunStage.RECORDED:
            return
        if result.outcome is OrderOutcome.TICKET_INVALID:
            self.state.advice.drop_ticket(run.task[:3], run.life)
        if result.outcome is OrderOutcome.REFUSED:
            worker.score.note(run.task.job, False, now)
        if run.unanswered:
            self.state.request_stop(run)
        else:
            reason = f"start refused: {result.outcome.value}"
            self._reconciler.note_over(worker, run, reason, now)

    def make_stop(self, run: ActiveRun) -> StopOrder | None:
        """Return the order to stop a run, or None if it has ended."""
        worker = self.state.workers.get(run.worker)
        if worker is None or not self.is_active(run):
            return None
        return StopOrder(
            worker=worker.worker,
            address=worker.address,
            task=run.task,
            run=run.run,
            token=self.state.token,
        )

    def note_stop(self, run: ActiveRun, result: OrderResult, now: float) -> bool:
        """Take over the answer to a stop; return whether it was carried out."""
        self._note_answer(run, result, now)
        if result.outcome is OrderOutcome.FENCED:
            self.is_displaced = True
            return True
        if result.outcome is not OrderOutcome.ACCEPTED:
            return False
        run.stopped_at = now
        return True

    def _note_answer(
        self, run: ActiveRun, result: OrderResult, now: float
    ) -> WorkerLedger | None:
        worker = self.state.workers.get(run.worker)
        if worker is None:
            return None
        if result.outcome is OrderOutcome.UNREACHED:
            worker.failed_since = worker.failed_since or now
        elif result.outcome is OrderOutcome.UNANSWERED:
            if now - worker.contacted_at > SILENCE:
                worker.failed_since = worker.failed_since or now
        elif result.clock is not None and run.life == worker.life:
            worker.note_contact(result.clock, now, self.state.terms.longest_lease)
        return worker

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
            deadline = worker.give_lease(now, self.state.terms.lease)
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
        strays = self._reconciler.reconcile(worker, report, sent_at, now)
        self._watcher.watch(worker, now)
        self.state.paces.extend(self._pacer.adjust(worker))
        return strays

    def take_paces(self) -> list[ActiveRun]:
        """Return, and forget, the runs whose pace has to be ordered."""
        paces, self.state.paces = self.state.paces, []
        return paces

    def make_pace(self, run: ActiveRun) -> PaceOrder | None:
        """Return the order to set the pace of a run, or None if it is not needed."""
        worker = self.state.workers.get(run.worker)
        if worker is None or not self.is_active(run):
            return None
        if run.pace == worker.leftover_pace or run.stage is not RunStage.CONFIRMED:
            return None
        return PaceOrder(
            worker=worker.worker,
            address=worker.address,
            task=run.task,
            run=run.run,
            percent=worker.leftover_pace,
            token=self.state.token,
        )

    def note_hold_failed(self, worker: WorkerLedger, now: float) -> None:
        """Note that a worker did not answer."""
        worker.failed_since = worker.failed_since or now

    def holds_long_running(self, worker: WorkerLedger) -> bool:
        """Return whether a long-running task may be at work on a worker."""
        for run in worker.runs.values():
            job = self.state.jobs.get(run.task.job)
            if job is None or job.record.is_long_running:
                return True
        return False

    def list_lives(self, now: float) -> list[WorkerLife]:
        """Return the workers that take tasks, those with most room first."""
        workers = [w for w in self.state.workers.values() if w.takes_tasks(now)]
        workers.sort(key=lambda worker: -worker.free.cpu)
        return [worker.life for worker in workers]

    def count_demand(self) -> int:
        """Return what startable and running tasks ask for, in thousandths of a core.

        Tasks whose team is at its limit, and jobs that can't be in time, count as
        well: machines that they could use are no less useful.
        """
        demand = sum(worker.reserved.cpu for worker in self.state.workers.values())
        for job in self.state.jobs.values():
            for _, _, step in job.startable():
                demand += len(step.waiting) * step.spec.reserved.cpu
        return max(demand, self._count_spread())

    def _count_spread(self) -> int:
        """Return the capacity that long-running steps need to spread their tasks.

        It is 0 while there are workers enough.
        """
        workers = [w for w in self.state.workers.values() if w.entry is not None]
        needed = 0
        for job in self.state.jobs.values():
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
        for job in self.state.jobs.values():
            count = pending.setdefault(job.record.queue, 0)
            if job.phase is JobPhase.QUEUED and not job.has_begun:
                pending[job.record.queue] = count + 1
        return pending

    def forget_closed(self, wall: float) -> list[JobLedger]:
        """Return, and forget, closed jobs whose outcome has been kept long enough."""
        limit = wall - self.state.terms.retention
        old = [
            job
            for job in self.state.jobs.values()
            if job.closed_at and job.closed_at < limit and not any(job.active_runs())
        ]
        for job in old:
            del self.state.jobs[job.record.job]
            self.state.advice.forget_job(job.record.job)
        return old
