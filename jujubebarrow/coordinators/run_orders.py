"""Orders for single runs and the handling of their results."""

from jujubebarrow.coordinators.active_runs import ActiveRun, RunStage
from jujubebarrow.coordinators.order_results import OrderOutcome, OrderResult
from jujubebarrow.coordinators.orders import StartOrder, StopOrder, ThrottleOrder
from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.coordinators.reconcilers import Reconciler
from jujubebarrow.coordinators.task_states import TaskState
from jujubebarrow.coordinators.worker_views import WorkerView

UNRESPONSIVE_SECONDS = 1.0
"""Time since the last response of a worker after which a lost order marks the worker as
unresponsive. Single orders to healthy workers get lost as well."""
UNACKNOWLEDGED_STARTS_LIMIT = 5
"""Number of unacknowledged starts of a run after which the run is given up on its
worker and stopped there."""


class RunOrders:
    """Makes the orders for runs and handles their results.

    Args:
        state: Jobs and workers of the pool.
        reconciler: Records the end of runs whose start failed.
    """

    def __init__(self, state: PoolState, reconciler: Reconciler):
        self._state = state
        self._reconciler = reconciler

    def pop_starts(self) -> list[ActiveRun]:
        """Remove and return the runs to be started."""
        starts, self._state.starts = self._state.starts, []
        return [run for run in starts if run.stage is RunStage.RECORDED]

    def pop_stops(self) -> list[ActiveRun]:
        """Remove and return the runs to be stopped."""
        stops, self._state.stops = self._state.stops, []
        return stops

    def pop_late_start_stops(self) -> list[StopOrder]:
        """Remove and return stop orders against starts that may be executed late.

        The worker has restarted, and the new incarnation may still execute the starts.
        """
        stops, self._state.late_start_stops = self._state.late_start_stops, []
        return stops

    def pop_speed_changes(self) -> list[ActiveRun]:
        """Remove and return the runs whose speed has to be ordered."""
        speed_changes, self._state.speed_changes = self._state.speed_changes, []
        return speed_changes

    def is_active(self, run: ActiveRun) -> bool:
        """Return whether a run may still be executing or may still be started."""
        worker = self._state.workers.get(run.worker)
        return worker is not None and worker.runs.get((run.task, run.run)) is run

    def make_start(self, run: ActiveRun, now: float) -> StartOrder | None:
        """Return the order to start a run, or None if the order must not be sent now.

        Args:
            run: Run that is recorded in the store.
            now: Time in seconds.
        """
        job = self._state.jobs.get(run.task.job)
        task = job.find_task(run.task) if job is not None else None
        worker = self._state.workers.get(run.worker)
        if job is None or task is None or worker is None or task.active is not run:
            return None
        if run.stage is not RunStage.RECORDED or run.incarnation != worker.incarnation:
            return None
        step = job.find_step(run.task)
        label = step.spec.label if step is not None else ""
        obstacle = _find_start_obstacle(worker, task, label)
        if obstacle:
            self._give_up_start(worker, run, obstacle, now)
            return None
        if not worker.is_entry_present:
            # The present incarnation may be in another pool, or of another kind.
            return None
        if worker.is_over_capacity and (run.has_moved or not run.is_start_sent):
            self._give_up_start(worker, run, "capacity reduced before the start", now)
            return None
        if worker.has_orphans or now < task.blocked_until:
            # Another run of the task may still be executing.
            return None
        if not _is_present(worker, now):
            return None
        if not self._state.fence_open_acknowledgements(worker):
            return None
        options = self._state.options
        deadline = worker.issue_lease(now, options.lease, options.late_order_window)
        if deadline is None:
            return None
        run.first_sent_at = run.first_sent_at or now
        worker.record_start_sent(run)
        task.in_flight_starts += 1
        return StartOrder(
            worker=worker.worker,
            address=worker.address,
            task=run.task,
            run=run.run,
            payload=job.record.payload,
            deadline=deadline,
            token=worker.token,
            checkpoint=task.checkpoint,
            ticket=run.ticket,
        )

    def _give_up_start(
        self, worker: WorkerView, run: ActiveRun, reason: str, now: float
    ) -> None:
        """Give up a run that its worker has not started as far as is known."""
        if run.is_start_sent:
            self._state.request_stop(run)
        else:
            self._reconciler.record_unreported_end(worker, run, reason, now)

    def handle_unsent_start(self, run: ActiveRun, now: float) -> None:
        """Note that a start order has reached no worker, so that it has no result."""
        self._record_arrival(run)
        worker = self._state.workers.get(run.worker)
        if worker is not None:
            worker.record_start_result(run, now)

    def handle_start_result(
        self,
        run: ActiveRun,
        order: StartOrder,
        result: OrderResult,
        sent_at: float,
        now: float,
    ) -> None:
        """Handle the result of a start order."""
        self._record_arrival(run)
        worker = self._handle_response(order, result, now)
        outcome = result.outcome
        if worker is None:
            return
        if outcome is not OrderOutcome.UNACKNOWLEDGED:
            worker.record_answer(sent_at)
        else:
            worker.record_lost_start(sent_at)
            self._record_unacknowledged_start(worker, run, sent_at, now)
        worker.record_start_result(run, now)
        is_present = worker.is_present_token(order.token)
        if (run.task, run.run) not in worker.runs or not is_present:
            return
        if outcome in (OrderOutcome.ACCEPTED, OrderOutcome.OUTDATED):
            job = self._state.jobs.get(run.task.job)
            task = self._find_task(run)
            if job is not None:
                self._state.mark_started(job)
            if task is not None:
                task.last_seen_at = now
            run.is_outdated = outcome is OrderOutcome.OUTDATED
            if run.stage is RunStage.RECORDED:
                run.confirm(now)
                worker.record_known_run(run, now)
        elif outcome is OrderOutcome.FENCED:
            self._state.record_refusal(worker, order.token, now)
        elif outcome not in (
            OrderOutcome.UNACKNOWLEDGED,
            OrderOutcome.LEASE_DEADLINE_PASSED,
        ):
            self._handle_failed_start(worker, run, result, now)

    def _record_arrival(self, run: ActiveRun) -> None:
        task = self._find_task(run)
        if task is not None:
            task.in_flight_starts = max(0, task.in_flight_starts - 1)

    def _find_task(self, run: ActiveRun) -> TaskState | None:
        job = self._state.jobs.get(run.task.job)
        return job.find_task(run.task) if job is not None else None

    def _record_unacknowledged_start(
        self, worker: WorkerView, run: ActiveRun, sent_at: float, now: float
    ) -> None:
        run.late_start_until = sent_at + self._state.options.late_order_window
        worker.record_unacknowledged_start(run, now)
        if (run.task, run.run) not in worker.runs:
            task = self._find_task(run)
            if task is not None:
                self._reconciler.block_late_starts(worker, run, task)
            return
        run.unacknowledged_starts += 1
        if (
            run.unacknowledged_starts >= UNACKNOWLEDGED_STARTS_LIMIT
            and not worker.unresponsive_since
        ):
            self._state.request_stop(run)

    def _handle_failed_start(
        self, worker: WorkerView, run: ActiveRun, result: OrderResult, now: float
    ) -> None:
        if run.stage is not RunStage.RECORDED:
            return
        if result.outcome is OrderOutcome.TICKET_INVALID:
            self._state.advice.drop_ticket(run.task[:3], run.incarnation)
        job = self._state.jobs.get(run.task.job)
        step = job.find_step(run.task) if job is not None else None
        if result.outcome is OrderOutcome.REFUSED and step is not None:
            if step.evidence.record_failure(run.task.index, worker.worker):
                worker.score.record_run(run.task.job, False, now)
        if run.unacknowledged_starts:
            self._state.request_stop(run)
        else:
            reason = f"start refused: {result.outcome.value}"
            self._reconciler.record_unreported_end(worker, run, reason, now)

    def make_stop(self, run: ActiveRun) -> StopOrder | None:
        """Return the order to stop a run, or None if the run has ended."""
        worker = self._state.workers.get(run.worker)
        if worker is None or not self.is_active(run) or worker.is_refusing:
            return None
        return StopOrder(
            worker=worker.worker,
            address=worker.address,
            task=run.task,
            run=run.run,
            token=worker.token,
        )

    def handle_stop_result(
        self, run: ActiveRun, order: StopOrder, result: OrderResult, now: float
    ) -> bool:
        """Handle the result of a stop order; return whether no retry is needed."""
        worker = self._handle_response(order, result, now)
        if worker is None or not worker.is_present_token(order.token):
            return False
        if result.outcome is OrderOutcome.FENCED:
            return self._state.record_refusal(worker, order.token, now)
        if result.outcome is not OrderOutcome.ACCEPTED:
            return False
        run.stop_acknowledged_at = now
        return True

    def make_throttle(self, run: ActiveRun) -> ThrottleOrder | None:
        """Return the order to set the speed of a run, or None if none is needed."""
        worker = self._state.workers.get(run.worker)
        if worker is None or not self.is_active(run):
            return None
        if (
            run.speed_percent == worker.best_effort_speed_percent
            or run.stage is not RunStage.CONFIRMED
        ):
            return None
        return ThrottleOrder(
            worker=worker.worker,
            address=worker.address,
            task=run.task,
            run=run.run,
            percent=worker.best_effort_speed_percent,
            token=worker.token,
        )

    def is_to_present_incarnation(self, order: ThrottleOrder) -> bool:
        """Return whether an order was made for a worker's present incarnation."""
        worker = self._state.workers.get(order.worker)
        return worker is not None and worker.is_present_token(order.token)

    def _handle_response(
        self, order: StartOrder | StopOrder, result: OrderResult, now: float
    ) -> WorkerView | None:
        worker = self._state.workers.get(order.worker)
        if worker is None or not worker.is_present_token(order.token):
            return worker
        if result.outcome is OrderOutcome.UNREACHED:
            worker.record_failure(now)
        elif result.outcome is OrderOutcome.UNACKNOWLEDGED:
            contact_at = worker.last_contact_at
            if contact_at is not None and now - contact_at > UNRESPONSIVE_SECONDS:
                worker.record_failure(now)
        elif result.clock is not None:
            worker.record_response(result.clock, now)
        return worker


def _is_present(worker: WorkerView, now: float) -> bool:
    """Return whether the known incarnation of a worker executes orders.

    To an unresponsive worker, each attempt would delay the lease expiry, after which
    its runs are started elsewhere. A worker that has not responded for some time may
    have restarted as another kind or in another pool.
    """
    return (
        not worker.is_refusing
        and not worker.unresponsive_since
        and worker.is_contact_recent(now)
    )


def _find_start_obstacle(worker: WorkerView, task: TaskState, label: str) -> str:
    """Return why a worker must get no start; empty if it may get one.

    Args:
        worker: Worker that a run is planned for.
        task: Task of the run.
        label: Label that the run's step requires; empty for none.
    """
    if task.is_done:
        # The end of another task of the gang counts for this one.
        return "task done"
    if worker.draining_since:
        return "worker drains"
    if worker.entry is None:
        return "worker not registered"
    if worker.is_entry_present and not worker.has_label(label):
        return "label lost before the start"
    return ""
