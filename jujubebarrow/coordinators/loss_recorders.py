"""Attribution of lost workers to the tasks that ran on them."""

from collections import OrderedDict

from jujubebarrow.coordinators.active_runs import ActiveRun
from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.coordinators.worker_views import WorkerView
from jujubebarrow.logs.decision_logs import DecisionLog
from jujubebarrow.workloads.identifiers import WorkerIncarnation
from jujubebarrow.workloads.task_keys import TaskKey

SILENT_WORKERS_LIMIT = 1000
"""Incarnations without a response whose losses can still be taken back."""


class LossRecorder:
    """Counts the workers that were lost under each task.

    A task that crashes its workers would take one after the other, and is started alone
    and later each time. The loss of a worker is no failed run, so that it never fails
    the job: other tasks lose their workers by chance. The time of the loss counts: a
    worker that has responded some time after the start of a run was not crashed by that
    start. A worker that only did not respond and then responds again was not crashed
    either.

    Args:
        state: Jobs and workers of the pool.
        log: Decision log.
    """

    def __init__(self, state: PoolState, log: DecisionLog):
        self._state = state
        self._log = log
        self._silent: OrderedDict[WorkerIncarnation, list[tuple[TaskKey, bool]]] = (
            OrderedDict()
        )

    def record_loss(self, worker: WorkerView, run: ActiveRun) -> None:
        """Record that a worker was lost with a run.

        Args:
            worker: Lost worker, in its last known state.
            run: Run that the worker may have executed.
        """
        if run.is_loss_recorded or not run.is_start_sent:
            return
        run.is_loss_recorded = True
        job = self._state.jobs.get(run.task.job)
        task = job.find_task(run.task) if job is not None else None
        if job is None or task is None or job.phase.is_final:
            return
        task.losses += 1
        task.avoided_worker = worker.worker
        if not run.is_proven:
            task.crashes += 1
        if run.incarnation == worker.incarnation:
            self._record_silent(run)
        self._log.write(
            "worker_lost_under_task",
            task=str(run.task),
            run=run.run,
            worker=run.worker,
            survived=_measure_survival(worker, run),
            proven=run.is_proven,
            crashes=task.crashes,
            losses=task.losses,
            delay=task.compute_restart_delay(run.is_long_running),
        )
        self._state.mark_changed(job)

    def _record_silent(self, run: ActiveRun) -> None:
        losses = self._silent.setdefault(run.incarnation, [])
        losses.append((run.task, not run.is_proven))
        if len(self._silent) > SILENT_WORKERS_LIMIT:
            self._silent.popitem(last=False)

    def record_response(self, worker: WorkerView) -> None:
        """Take back the losses of a worker that responds again and has not restarted.

        Args:
            worker: Worker whose present incarnation has responded.
        """
        for key, was_counted_as_crash in self._silent.pop(worker.incarnation, ()):
            job = self._state.jobs.get(key.job)
            task = job.find_task(key) if job is not None else None
            if job is None or task is None or job.phase.is_final:
                continue
            task.losses = max(0, task.losses - 1)
            if was_counted_as_crash:
                task.crashes = max(0, task.crashes - 1)
            self._log.write(
                "worker_not_lost",
                task=str(key),
                worker=worker.worker,
                crashes=task.crashes,
                losses=task.losses,
            )
            self._state.mark_changed(job)


def _measure_survival(worker: WorkerView, run: ActiveRun) -> float | None:
    """Return the time in seconds from a run's start to the worker's last response.

    Returns None if this process did not send the start, or got no response since.
    """
    contact_at = worker.last_contact_at
    if not run.first_sent_at or contact_at is None or contact_at < run.first_sent_at:
        return None
    return round(contact_at - run.first_sent_at, 3)
