"""Waits of tasks for starts that a worker may still execute."""

from jujubebarrow.coordinators.job_progresses import JobProgress
from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.coordinators.step_states import StepState
from jujubebarrow.coordinators.task_states import TaskState
from jujubebarrow.coordinators.worker_views import CLOCK_RATE, WorkerView
from jujubebarrow.workloads.identifiers import WorkerId

ABSENCE_SECONDS = 9.0
"""Time since its last run after which an absent long-running task counts as lost; from
the platform's rules."""
CALM_SECONDS = 7.0
"""Time without faults before which no task counts as lost; from the same rule."""
START_SECONDS = 1.5
"""Time in which a planned run is stored, sent and sent again."""
CONTACT_SECONDS = 1.2
"""Time without a response after which a worker that is polled often may have failed."""


class LateStartWait:
    """Decides how long tasks wait for former starts that a worker may still execute.

    A worker rejects such a start once it has seen the token of its present incarnation,
    but a further incarnation does not. A finite task waits until no worker can execute
    the start; a long-running task waits for as long as it does not count as lost.

    Args:
        state: Jobs and workers of the pool.
    """

    def __init__(self, state: PoolState):
        self._state = state

    def must_wait(
        self, job: JobProgress, step: StepState, task: TaskState, now: float
    ) -> bool:
        """Return whether a worker may execute a start of a task beside its next run.

        Args:
            job: Job of the task.
            step: Step of the task.
            task: Task without an active run.
            now: Time in seconds.
        """
        if not task.late_starts:
            return False
        is_absence_limited = step.spec.long_running and (
            now >= self.find_absence_end(job, task)
        )
        return any(
            self._may_execute(name, end, is_absence_limited, now)
            for name, end in task.late_starts.items()
        )

    def find_absence_end(self, job: JobProgress, task: TaskState) -> float:
        """Return when a long-running task has to start again, in seconds."""
        last_executed_at = max(task.last_seen_at, job.accepted_at)
        # A start without a response is a fault as well.
        ends = list(task.late_starts.values())
        if task.active is not None:
            ends.append(task.active.late_start_until)
        window = self._state.options.late_order_window
        last_fault_at = max(self._state.last_fault_at, max(ends, default=0.0) - window)
        end = max(last_executed_at + ABSENCE_SECONDS, last_fault_at + CALM_SECONDS)
        return end - START_SECONDS

    def _may_execute(
        self, name: WorkerId, end: float, is_absence_limited: bool, now: float
    ) -> bool:
        """Return whether a task has to wait for what a worker may execute.

        A restarted worker may have executed the start before the owner has reached it.
        Its first list tells, and without any contact its lease expires.

        Args:
            name: Id of the worker.
            end: Time in seconds until which the worker may execute the start.
            is_absence_limited: Whether the task waits only for a registered worker that
                gives no response. No task counts as lost during such a fault.
            now: Time in seconds.
        """
        if now >= self._find_end(name, end):
            return False
        if not is_absence_limited:
            return True
        worker = self._state.workers.get(name)
        if worker is None or worker.entry is None:
            return False
        return (
            bool(worker.unresponsive_since)
            or not worker.has_seen_token
            or now - (worker.last_contact_at or 0.0) > CONTACT_SECONDS
        )

    def find_ends(self, task: TaskState, now: float) -> dict[WorkerId, float]:
        """Return the workers that may execute a start of a task or its run.

        Returns:
            Times in seconds until which they may.
        """
        ends = {
            name: self._find_end(name, end) for name, end in task.late_starts.items()
        }
        return {name: end for name, end in ends.items() if end > now}

    def _find_end(self, name: WorkerId, end: float) -> float:
        """Return until when a worker may execute a start or the run that it began.

        Returns:
            Time in seconds; 0 if the worker has ended.
        """
        if name in self._state.ended_workers:
            return 0.0
        worker = self._state.workers.get(name)
        if worker is None or worker.has_seen_token or worker.was_absent_after(end):
            return end
        return max(end, self._find_lease_end(worker, end))

    def _find_lease_end(self, worker: WorkerView, end: float) -> float:
        """Return until when an unreached worker may run what it has started late.

        Each takeover postpones the time until which former owners may have renewed the
        worker's lease. A worker that is not registered, and has restarted before it
        executed the start, got no renewal that was sent after that.

        Args:
            worker: Worker that has not seen the token of the orders to it.
            end: Time in seconds until which the worker may execute the start.
        """
        options = self._state.options
        expiry = self._state.find_late_expiry(worker)
        if worker.entry is not None:
            return expiry
        last_renewed_at = end + options.superseded_renewal
        last_executed_at = last_renewed_at + options.late_order_window
        return min(expiry, last_executed_at + options.accepted_lease / CLOCK_RATE)
