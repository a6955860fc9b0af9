"""Reconciliation of recorded runs with a worker's lists of runs."""

from jujubebarrow.coordinators.acknowledgement_holds import AcknowledgementHolds
from jujubebarrow.coordinators.active_runs import ActiveRun, RunStage
from jujubebarrow.coordinators.evacuations import OPERATING_PERCENT
from jujubebarrow.coordinators.foreign_ends import ForeignEnd
from jujubebarrow.coordinators.job_changes import FinishedRunRef
from jujubebarrow.coordinators.job_progresses import JobProgress
from jujubebarrow.coordinators.loss_recorders import LossRecorder
from jujubebarrow.coordinators.orders import StopOrder
from jujubebarrow.coordinators.overload_recorders import OverloadRecorder
from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.coordinators.step_states import StepState
from jujubebarrow.coordinators.task_states import TaskState
from jujubebarrow.coordinators.worker_views import CLOCK_RATE, WorkerView
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.workloads.finished_runs import FinishedRun, RunOutcome
from jujubebarrow.workloads.identifiers import RunNumber
from jujubebarrow.workloads.task_keys import TaskKey
from jujubebarrow.workloads.worker_reports import RenewalReport, RunningTask

ORPHAN_BLOCK_SECONDS = 2.5
"""Time for which a task does not start after a worker has listed a run of it that is to
be stopped; longer than the time between two of the worker's reports."""
LASTING_SUCCESS_SECONDS = 5.0
"""Time at work after which a run of a long-running task counts as a success; such tasks
may fail at any time, so that a later failure does not speak against the worker."""
SURVIVAL_SECONDS = 0.5
"""Time after the start of a run at which a response of its worker shows that the start
did not crash the worker."""


class Reconciler:
    """Reconciles the recorded runs of a worker with the worker's reports.

    Args:
        state: Jobs and workers of the pool.
        losses: Counts the workers that were lost under each task.
        holds: Holds ends back beside late starts.
        log: Decision log.
    """

    def __init__(
        self,
        state: PoolState,
        losses: LossRecorder,
        holds: AcknowledgementHolds,
        log: DecisionLog,
    ):
        self._state = state
        self._losses = losses
        self._holds = holds
        self._overloads = OverloadRecorder(state, log)
        self._log = log

    def reconcile(
        self, worker: WorkerView, report: RenewalReport, sent_at: float, now: float
    ) -> list[StopOrder]:
        """Apply a report; return stop orders for orphaned runs.

        Args:
            worker: Worker that sent the report.
            report: Response of the worker to a lease renewal with the present token.
            sent_at: Time in seconds at which the renewal was sent.
            now: Time in seconds.
        """
        if report.born != worker.started_at_ms:
            # The new incarnation does not reject late orders until it has seen its own
            # token, and its lists may still change.
            self.handle_restart(worker, report.born, now)
            return []
        self._record_contact(worker, report, sent_at, now)
        self._losses.record_response(worker)
        self._overloads.check_report(worker, report.running)
        orphans = []
        listed: set[tuple[TaskKey, RunNumber]] = set()
        for running in report.running:
            listed.add((running.task, running.run))
            if not self._handle_running(worker, running, now):
                self._log_orphan(worker, running)
                self._block_task(running.task, now)
                orphans.append(self._make_stop(worker, running.task, running.run))
        for finished in report.ended:
            listed.add((finished.task, finished.run))
            if worker.record_finished(finished.number):
                self._handle_finished(worker, finished, now)
        for key, run in list(worker.runs.items()):
            if key in listed or not report.lists_all_ends:
                continue
            if _must_be_listed(run, sent_at):
                self._handle_unlisted_run(worker, run, sent_at, now)
        worker.record_report(bool(orphans), report.lists_all_ends, sent_at)
        self._holds.check_report(worker, report)
        return orphans

    def _record_contact(
        self, worker: WorkerView, report: RenewalReport, sent_at: float, now: float
    ) -> None:
        if report.running and worker.is_lease_expired(sent_at):
            self._log_outlived_lease(worker, report, sent_at)
        if worker.unresponsive_since:
            self._state.record_regained(now)
        foreign_lease = self._state.options.compute_foreign_lease(report.clock)
        worker.record_contact(report.clock, now, foreign_lease)

    def _log_outlived_lease(
        self, worker: WorkerView, report: RenewalReport, sent_at: float
    ) -> None:
        """Log that a worker executes runs whose lease counts as expired."""
        self._log.write(
            "lease_outlived",
            worker=worker.worker,
            seconds=round(sent_at - worker.lease_end, 3),
            issued_before=round(sent_at - (worker.lease_issued_at or sent_at), 3),
            runs=[f"{item.task}#{item.run}" for item in report.running],
            known=[f"{task}#{run}" for task, run in worker.runs],
        )

    def _handle_unlisted_run(
        self, worker: WorkerView, run: ActiveRun, sent_at: float, now: float
    ) -> None:
        """Handle a run that the worker neither executes nor has ended.

        The run stays active while a later incarnation may execute a start of it, so
        that a later owner knows of it as well.
        """
        if self._can_repeat_former_start(worker, run, now):
            self._repeat_former_start(worker, run, now)
            return
        late_start_end = self._find_late_start_end(worker, run)
        task = self._find_task(run)
        if sent_at >= late_start_end:
            is_inherited = run.stage is RunStage.INHERITED
            self.record_unreported_end(worker, run, "not in the worker's lists", now)
            former_end = self._state.former_starts_end
            if is_inherited and task is not None and now < former_end:
                # The incarnation rejects starts of former owners, but the next one
                # does not.
                self._record_late_start(worker, run, task, former_end)
        elif self._can_repeat_lost_start(worker, run):
            self._repeat_lost_start(worker, run, now)
        elif run.is_long_running:
            # The task waits for as long as it does not count as lost.
            self.record_unreported_end(worker, run, "not in the worker's lists", now)
            if task is not None:
                self._record_late_start(worker, run, task, late_start_end)
        else:
            worker.record_absent_run(run)

    def _can_repeat_start(self, run: ActiveRun) -> bool:
        """Return whether the start of a run may be sent again to a new incarnation."""
        job = self._state.jobs.get(run.task.job)
        step = job.find_step(run.task) if job is not None else None
        task = self._find_task(run)
        return (
            job is not None
            and not job.phase.is_final
            and step is not None
            # The other tasks of a gang may have ended meanwhile.
            and not step.spec.gang
            and task is not None
            and task.active is run
            and not task.is_done
            # A ticket is valid for one incarnation, and a former owner's is not known.
            and not self._state.advice.is_needed(job.record.queue)
        )

    def _can_repeat_former_start(
        self, worker: WorkerView, run: ActiveRun, now: float
    ) -> bool:
        """Return whether to send the start of a former owner's run again.

        Starts of former owners may still arrive, but none has been executed. The
        incarnation is the one that the run was planned for.
        """
        return (
            run.stage is RunStage.INHERITED
            and not run.has_moved
            and run.incarnation == worker.incarnation
            and now < self._state.former_starts_end
            and self._can_repeat_start(run)
        )

    def _can_repeat_lost_start(self, worker: WorkerView, run: ActiveRun) -> bool:
        """Return whether to send the start of a run to the next incarnation again.

        A former start of the run that is executed late does no harm then, in whichever
        incarnation, and the long-running task does not wait.
        """
        job = self._state.jobs.get(run.task.job)
        step = job.find_step(run.task) if job is not None else None
        task = self._find_task(run)
        return (
            run.is_long_running
            and not run.is_outdated
            and run.stage is not RunStage.STOPPING
            and worker.entry is not None
            and not worker.draining_since
            and step is not None
            and task is not None
            and not step.compute_restart_delay(task)
            and self._can_repeat_start(run)
        )

    def _repeat_lost_start(
        self, worker: WorkerView, run: ActiveRun, now: float
    ) -> None:
        """Send the start of a run to the next incarnation of its worker."""
        task = self._find_task(run)
        is_being_sent = run.stage is RunStage.RECORDED
        if not run.first_sent_at:
            self._record_former_start(worker, run, now)
        worker.remove_run(run, now)
        run.prepare_repeated_start()
        run.incarnation = worker.incarnation
        run.has_moved = True
        run.is_suspect = task is not None and task.is_suspect
        worker.add_run(run)
        if not is_being_sent:
            self._state.starts.append(run)
        self._log.write(
            "lost_start_repeated",
            task=str(run.task),
            run=run.run,
            worker=run.worker,
            unanswered=run.unacknowledged_starts,
        )

    def _repeat_former_start(
        self, worker: WorkerView, run: ActiveRun, now: float
    ) -> None:
        run.stage = RunStage.RECORDED
        self._record_former_start(worker, run, now)
        self._state.starts.append(run)
        self._log.write(
            "former_start_repeated",
            task=str(run.task),
            run=run.run,
            worker=run.worker,
        )

    def _record_former_start(
        self, worker: WorkerView, run: ActiveRun, now: float
    ) -> None:
        """Count the start that a former owner may have sent as unacknowledged."""
        run.unacknowledged_starts += 1
        run.late_start_until = self._state.former_starts_end
        worker.record_unacknowledged_start(run, now)

    def _find_late_start_end(self, worker: WorkerView, run: ActiveRun) -> float:
        """Return until when a later incarnation may execute a run that has moved.

        Returns:
            Time in seconds; 0 if no run may start after this one anyway.
        """
        job = self._state.jobs.get(run.task.job)
        has_moved = run.has_moved or run.incarnation != worker.incarnation
        if job is None or job.phase.is_final or not has_moved:
            return 0.0
        end = worker.find_late_start_end(run.task)
        return end if run.first_sent_at else max(end, self._state.former_starts_end)

    def handle_restart(
        self, worker: WorkerView, started_at_ms: int, now: float
    ) -> None:
        """Handle a new incarnation of a worker, which keeps its id.

        Also called for the first incarnation that becomes known.

        Args:
            worker: Worker that started or restarted.
            started_at_ms: Unix time of the worker's start in milliseconds.
            now: Time in seconds.
        """
        runs = list(worker.runs.values())
        previous_start = worker.started_at_ms
        if previous_start and worker.last_contact_at is not None:
            self._state.record_fault(worker.last_contact_at)
        options = self._state.options
        worker.reset_for_restart(
            started_at_ms,
            now + options.longest_lease / CLOCK_RATE,
            self._state.issue_token(),
        )
        late_starts = worker.prune_unacknowledged_starts(now)
        if previous_start or runs:
            self._log.write(
                "worker_life_began",
                worker=worker.worker,
                born=started_at_ms,
                token=worker.token,
                lost=len(runs),
                late_starts=len(late_starts),
                late_needs=worker.late_starts_reserved,
            )
        former_runs = [run for run in runs if run.incarnation[1] != started_at_ms]
        for run in former_runs:
            self._losses.record_loss(worker, run)
            self._move_to_new_incarnation(worker, run, now)
        repeated = {(run.task, run.run) for run in former_runs if _is_repeated(run)}
        for task, number in late_starts:
            if (task, number) in repeated:
                continue
            # The stop is needed even if another start of the run was acknowledged and
            # the run has ended: the new incarnation does not know the run and would
            # execute a late start.
            self._state.late_start_stops.append(self._make_stop(worker, task, number))
        if any((run.task, run.run) in worker.runs for run in former_runs):
            worker.extend_expiry(self._state.find_late_expiry(worker))

    def _move_to_new_incarnation(
        self, worker: WorkerView, run: ActiveRun, now: float
    ) -> None:
        """End a run of a former incarnation, unless the new one may execute the run.

        Start orders name the worker, not the incarnation, so that the new incarnation
        may have executed a start that was sent before the restart was known.
        """
        is_late = bool(run.unacknowledged_starts) and now < run.late_start_until
        is_in_transit = run.stage is RunStage.RECORDED and run.is_start_sent
        is_unsent = (
            run.stage in (RunStage.PLANNED, RunStage.RECORDED) and not run.is_start_sent
        )
        may_late_start_run = now < worker.find_late_start_end(run.task)
        run.speed_percent = 100
        run.is_outdated = False
        may_former_owner_have_repeated_start = (
            not run.first_sent_at and now < self._state.former_starts_end
        )
        if (is_late or is_in_transit) and self._can_repeat_lost_start(worker, run):
            self._repeat_lost_start(worker, run, now)
        elif is_late or is_in_transit:
            run.incarnation = worker.incarnation
            run.has_moved = True
            run.stage = RunStage.RECORDED
            self._state.request_stop(run)
        elif not may_late_start_run and (
            is_unsent or (run.is_listed and not may_former_owner_have_repeated_start)
        ):
            self.record_unreported_end(worker, run, "worker restarted", now)
        else:
            # The next list of runs tells whether the new incarnation executes the run.
            run.incarnation = worker.incarnation
            run.is_listed = False
            run.has_moved = (
                run.has_moved
                or run.stage is RunStage.INHERITED
                or (run.is_long_running and may_former_owner_have_repeated_start)
            )

    def record_unreported_end(
        self, worker: WorkerView, run: ActiveRun, reason: str, now: float
    ) -> None:
        """Record the end of a run that its worker has not listed as finished.

        The caller must be certain that the run can no longer execute.
        """
        job = self._state.jobs.get(run.task.job)
        task = job.find_task(run.task) if job is not None else None
        if job is None or task is None or task.active is not run:
            worker.remove_run(run, now)
            return
        self._log.write(
            "run_over",
            task=str(run.task),
            run=run.run,
            worker=run.worker,
            stage=run.stage.value,
            unanswered=run.unacknowledged_starts,
            reason=reason,
        )
        if run.is_start_sent and not run.first_sent_at and not run.is_listed:
            # The former owner may have sent a start that nobody has recorded.
            worker.keep_former_start(run, self._state.former_starts_end, now)
        self._state.release_run(job, task, now)
        self.block_late_starts(worker, run, task)
        self._state.mark_changed(job)

    def block_late_starts(
        self, worker: WorkerView, run: ActiveRun, task: TaskState
    ) -> None:
        """Keep a task from starting elsewhere while a late start is possible.

        The worker rejects the start, but its next incarnation executes it.
        """
        end = worker.find_late_start_end(run.task)
        if end:
            self._record_late_start(worker, run, task, end)

    def _record_late_start(
        self, worker: WorkerView, run: ActiveRun, task: TaskState, end: float
    ) -> None:
        if worker.worker in self._state.ended_workers:
            return
        if not task.record_late_start(worker.worker, end):
            return
        self._log.write(
            "late_start_possible",
            task=str(run.task),
            run=run.run,
            worker=worker.worker,
            reached=worker.has_seen_token and not worker.unresponsive_since,
            until=round(end, 3),
        )

    def _handle_running(
        self, worker: WorkerView, running: RunningTask, now: float
    ) -> bool:
        """Update a run from the worker's list; return False for an orphaned run."""
        run = worker.runs.get((running.task, running.run))
        if run is None:
            return False
        run.is_listed = True
        worker.record_known_run(run, now)
        if run.stage in (RunStage.RECORDED, RunStage.INHERITED):
            run.confirm(now)
        if running.percent != run.progress_percent:
            run.progress_percent = running.percent
            run.progressed_at = now
        run.load = running.load
        job = self._state.jobs.get(running.task.job)
        task = job.find_task(running.task) if job is not None else None
        if job is None or task is None:
            return False
        task.last_seen_at = now
        self._state.mark_started(job)
        if running.checkpoint:
            task.checkpoint = running.checkpoint
        # The first start of a run that has moved was sent to a former incarnation.
        started_at = run.confirmed_at if run.has_moved else run.first_sent_at
        if not run.is_proven and now - started_at >= SURVIVAL_SECONDS:
            worker.prove_run(run)
            task.crashes = 0
        is_at_work = run.is_long_running and running.percent >= OPERATING_PERCENT
        worked_since = max(run.confirmed_at, run.progressed_at)
        if is_at_work and now - worked_since >= LASTING_SUCCESS_SECONDS:
            if not run.has_succeeded:
                run.has_succeeded = True
                _record_success(worker, job.find_step(run.task), run.task, now)
        if job.phase.is_final:
            self._state.request_stop(run)
        return True

    def _block_task(self, key: TaskKey, now: float) -> None:
        """Keep a task from starting while a run of it that nobody recorded executes."""
        job = self._state.jobs.get(key.job)
        task = job.find_task(key) if job is not None else None
        if task is not None:
            task.block_until(now + ORPHAN_BLOCK_SECONDS)

    def _log_orphan(self, worker: WorkerView, running: RunningTask) -> None:
        self._log.write(
            "stray_run", task=str(running.task), run=running.run, worker=worker.worker
        )

    def _find_task(self, run: ActiveRun) -> TaskState | None:
        job = self._state.jobs.get(run.task.job)
        return job.find_task(run.task) if job is not None else None

    def _make_stop(
        self, worker: WorkerView, task: TaskKey, run: RunNumber
    ) -> StopOrder:
        return StopOrder(
            worker=worker.worker,
            address=worker.address,
            task=task,
            run=run,
            token=worker.token,
        )

    def _handle_finished(
        self, worker: WorkerView, finished: FinishedRun, now: float
    ) -> None:
        run = worker.runs.get((finished.task, finished.run))
        job = self._state.jobs.get(finished.task.job)
        task = job.find_task(finished.task) if job is not None else None
        if run is None or job is None or task is None or task.active is not run:
            self._handle_unrecorded_end(worker, finished, now)
            return
        self._state.mark_started(job)
        step = job.find_step(finished.task)
        self._state.release_run(job, task, now)
        self.block_late_starts(worker, run, task)
        if finished.checkpoint:
            task.checkpoint = finished.checkpoint
        if finished.outcome is RunOutcome.DONE and not run.is_long_running:
            self._holds.hold_end(worker, finished, job, now)
            job.record_done(finished.task)
            _record_success(worker, step, finished.task, now)
        elif finished.outcome is RunOutcome.FAILED:
            job.record_failure(finished.task, worker.worker)
            is_paused = self._record_failure(worker, step, run, now)
            self._log.write(
                "run_failed",
                task=str(finished.task),
                run=finished.run,
                worker=worker.worker,
                failures=task.failures,
                attempts=job.record.attempts,
                worker_paused=is_paused,
            )
        self._state.mark_changed(
            job, FinishedRunRef(worker.incarnation, finished.number)
        )

    def _record_failure(
        self, worker: WorkerView, step: StepState | None, run: ActiveRun, now: float
    ) -> bool:
        """Record a failed run; return whether its worker is paused for it.

        A long-running task that was at work has counted as a success.
        """
        if step is None or run.has_succeeded:
            return False
        speaks_against_worker = step.evidence.record_failure(
            run.task.index, worker.worker
        )
        return speaks_against_worker and worker.score.record_run(
            run.task.job, False, now
        )

    def _handle_unrecorded_end(
        self, worker: WorkerView, finished: FinishedRun, now: float
    ) -> None:
        """Handle the end of a run that is not the active run of its task.

        A start that the worker executed late may have done a task that waits for its
        next run; the end counts, so that the task is not repeated.
        """
        job = self._state.jobs.get(finished.task.job)
        reference = FinishedRunRef(worker.incarnation, finished.number)
        is_done = finished.outcome is RunOutcome.DONE
        task = job.find_task(finished.task) if job is not None else None
        active = task.active if task is not None else None
        if job is None and is_done:
            self._state.foreign_ends.append(ForeignEnd(finished.task, reference))
            return
        if job is not None and is_done:
            self._holds.hold_end(worker, finished, job, now)
        if job is None or not is_done or not self._record_done(job, finished.task):
            worker.mark_recorded(finished.number)
            return
        self._log.write(
            "unrecorded_run_done",
            task=str(finished.task),
            run=finished.run,
            worker=worker.worker,
            active=active.run if active is not None else None,
        )
        self._state.mark_changed(job, reference)

    def record_done_elsewhere(self, key: TaskKey) -> None:
        """Record that a worker of another pool has done a task of this pool.

        A task that waits for its next run is not repeated then.
        """
        job = self._state.jobs.get(key.job)
        if job is None:
            return
        job.reported_ends.add(key)
        if self._record_done(job, key):
            self._log.write("task_done_elsewhere", task=str(key))
            self._state.mark_changed(job)

    def _record_done(self, job: JobProgress, key: TaskKey) -> bool:
        """Record that a task is done by another run than its active one, if any.

        Returns:
            Whether this has changed the job.
        """
        step = job.find_step(key)
        task = job.find_task(key)
        if (
            step is None
            or task is None
            or task.is_done
            or step.spec.long_running
            or job.phase.is_final
        ):
            return False
        if task.active is not None:
            self._state.request_stop(task.active)
        job.record_done(key)
        return True


def _record_success(
    worker: WorkerView, step: StepState | None, task: TaskKey, now: float
) -> None:
    """Record a successful run of a task in the evidence on its worker and its step."""
    if step is not None:
        step.evidence.record_success(task.index)
    worker.score.record_run(task.job, True, now)


def _is_repeated(run: ActiveRun) -> bool:
    """Return whether the start of a run is sent to the next incarnation again."""
    return run.has_moved and run.stage is RunStage.RECORDED


def _must_be_listed(run: ActiveRun, sent_at: float) -> bool:
    """Return whether a report must list a run if the run still exists.

    Args:
        run: Run that is recorded for the worker.
        sent_at: Time in seconds at which the report was requested.
    """
    if run.stage is RunStage.INHERITED:
        # Starts of former owners are refused once the worker has seen the token of
        # the present owner.
        return True
    if run.stage is RunStage.CONFIRMED:
        return run.confirmed_at < sent_at
    if run.stage is RunStage.STOPPING:
        return 0.0 < run.stop_acknowledged_at < sent_at
    return False
