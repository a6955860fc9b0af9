"""Ends that are not acknowledged while another worker may start the same work late."""

from dataclasses import dataclass

from jujubebarrow.coordinators.job_progresses import JobProgress
from jujubebarrow.coordinators.late_start_records import StepKey
from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.coordinators.worker_views import WorkerView
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.workloads.finished_runs import FinishedRun, RunOutcome
from jujubebarrow.workloads.identifiers import WorkerId, WorkerIncarnation
from jujubebarrow.workloads.step_specs import StepSpec
from jujubebarrow.workloads.task_keys import TaskKey
from jujubebarrow.workloads.worker_reports import RenewalReport


@dataclass(slots=True)
class _LateCopies:
    """Starts that another worker may execute late.

    Attributes:
        end: Time in seconds until which the worker may execute them.
        incarnation: Incarnation that may list regular runs of the work; None if no
            report of the worker's present incarnation was known.
    """

    end: float
    incarnation: WorkerIncarnation | None


@dataclass(slots=True, eq=False)
class _Hold:
    """End that is not acknowledged yet.

    Attributes:
        incarnation: Incarnation of the worker that has listed the end.
        number: Position of the end in the worker's list.
        task: Task that is done.
        is_gang: Whether the end counts for all tasks of the step.
        copies: Starts of this work that other workers may execute late, by worker.
        is_repeated: Whether one of them was executed after the end.
    """

    incarnation: WorkerIncarnation
    number: int
    task: TaskKey
    is_gang: bool
    copies: dict[WorkerId, _LateCopies]
    is_repeated: bool = False

    @property
    def step(self) -> StepKey:
        return self.task[:3]

    def covers(self, task: TaskKey) -> bool:
        """Return whether the end counts for a task."""
        return task == self.task or (self.is_gang and task[:3] == self.step)


class AcknowledgementHolds:
    """Holds ends back that must not be acknowledged beside a late start.

    No start may follow the acknowledged end of a task, and the end of one task of a
    gang counts for all of them. A worker's own late starts hold its ends back, as a
    restart loses both together; those of other workers are handled here.

    An end is released once each of these workers has reported after its last late
    start and has listed no run that followed the end. Otherwise, it is held until the
    lease of the worker that has listed it has expired.

    Args:
        state: Jobs and workers of the pool.
        log: Decision log.
    """

    def __init__(self, state: PoolState, log: DecisionLog):
        self._state = state
        self._log = log
        self._holds: list[_Hold] = []

    def hold_end(
        self, worker: WorkerView, finished: FinishedRun, job: JobProgress, now: float
    ) -> None:
        """Hold an end back if another worker may start the work late.

        Args:
            worker: Worker that has listed the end.
            finished: End of a run that was successful.
            job: Job of the task, which does not count as done yet.
            now: Time in seconds.
        """
        spec = _find_spec(job, finished.task)
        if spec is None or spec.speculative or spec.long_running:
            return
        copies = self._find_copies(worker, finished.task, job, spec, now)
        if not copies:
            return
        self._holds.append(
            _Hold(worker.incarnation, finished.number, finished.task, spec.gang, copies)
        )
        worker.hold_acknowledgement(finished.number)
        self._log.write(
            "acknowledgement_held",
            task=str(finished.task),
            run=finished.run,
            worker=worker.worker,
            late={name: round(found.end, 3) for name, found in copies.items()},
        )

    def _find_copies(
        self,
        worker: WorkerView,
        key: TaskKey,
        job: JobProgress,
        spec: StepSpec,
        now: float,
    ) -> dict[WorkerId, _LateCopies]:
        task = job.find_task(key)
        if spec.gang or task is None:
            # Starts of a former owner are known by step.
            ends = {
                name: view.late_starts_end
                for name, view in self._state.workers.items()
                if view.may_start_step_late(key[:3], now)
            }
        else:
            ends = {name: end for name, end in task.late_starts.items() if end > now}
        ends.pop(worker.worker, None)
        return {
            name: _LateCopies(end, self._find_reported_incarnation(name))
            for name, end in ends.items()
        }

    def _find_reported_incarnation(self, name: WorkerId) -> WorkerIncarnation | None:
        view = self._state.workers.get(name)
        return view.incarnation if view is not None and view.has_reported else None

    def check_report(self, worker: WorkerView, report: RenewalReport) -> None:
        """Note which late starts a worker has executed after an end that is held."""
        for hold in self._holds:
            copies = hold.copies.get(worker.worker)
            if copies is None or copies.incarnation == worker.incarnation:
                continue
            listed = [item.task for item in report.running]
            # A late start of a single task of a gang can't succeed.
            listed += [
                item.task
                for item in report.ended
                if not (hold.is_gang and item.outcome is RunOutcome.DONE)
            ]
            if not hold.is_repeated and any(map(hold.covers, listed)):
                hold.is_repeated = True
                self._log.write(
                    "ended_work_repeated", task=str(hold.task), worker=worker.worker
                )

    def release(self, now: float) -> None:
        """Release the ends that may be acknowledged.

        Args:
            now: Time in seconds.
        """
        self._holds = [hold for hold in self._holds if not self._release(hold, now)]

    def _release(self, hold: _Hold, now: float) -> bool:
        """Release an end if possible; return whether it is not held any more."""
        worker = self._state.workers.get(hold.incarnation[0])
        if worker is None or worker.incarnation != hold.incarnation:
            # The end was lost with the incarnation.
            return True
        reason = self._find_reason(hold, worker, now)
        if reason:
            worker.release_acknowledgement(hold.number)
            self._log.write(
                "acknowledgement_released",
                task=str(hold.task),
                worker=worker.worker,
                reason=reason,
            )
        return bool(reason)

    def _find_reason(self, hold: _Hold, worker: WorkerView, now: float) -> str:
        """Return why an end may be acknowledged; empty if it may not."""
        if not worker.lists_all_ends:
            # Other ends would stay hidden.
            return "list is full"
        if not worker.runs and worker.is_lease_expired(now):
            return "lease expired"
        self._drop_void_copies(hold, now)
        return "" if hold.copies or hold.is_repeated else "no late start"

    def _drop_void_copies(self, hold: _Hold, now: float) -> None:
        for name, copies in list(hold.copies.items()):
            view = self._state.workers.get(name)
            if view is None:
                continue
            if hold.is_gang and view.may_start_step_late(hold.step, now):
                copies.end = max(copies.end, view.late_starts_end)
            elif view.completely_reported_at > copies.end:
                del hold.copies[name]
            elif now > copies.end:
                view.needs_contact = True


def _find_spec(job: JobProgress, key: TaskKey) -> StepSpec | None:
    steps = job.record.steps
    return steps[key.step] if 0 <= key.step < len(steps) else None
