"""Workers that no machine runs, by the platform's list of machines."""

from collections.abc import Collection

from jujubebarrow.coordinators.active_runs import ActiveRun
from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.coordinators.worker_views import WorkerView
from jujubebarrow.workloads.identifiers import WorkerId


class AbsentWorkers:
    """Decides which runs have ended with a worker that no machine runs.

    A worker is one life of a machine, whose entry in the list of machines names it. The
    runs of a worker that is neither registered nor listed have ended. Its next
    incarnation may execute a start that was sent before, so that the list tells nothing
    about a run before the last time at which a start of it could be executed.

    Args:
        state: Jobs and workers of the pool.
    """

    def __init__(self, state: PoolState):
        self._state = state

    def list_missing(self, now: float) -> list[WorkerId]:
        """Return the workers about which a list of machines would tell something new.

        These are not registered, and tasks may wait for what they might still execute.

        Args:
            now: Time in seconds.
        """
        return [
            name
            for name, worker in self._state.workers.items()
            if worker.entry is None
            and not worker.has_start_in_flight
            and any(
                end < now and not worker.was_absent_after(end)
                for end in self._list_last_starts(worker)
            )
        ]

    def record_list(
        self,
        missing: Collection[WorkerId],
        listed: Collection[WorkerId],
        requested_at: float,
    ) -> list[WorkerId]:
        """Record which workers a list of machines does not contain.

        Args:
            missing: Workers that were not registered when the list was requested.
            listed: Workers in the list.
            requested_at: Time in seconds.

        Returns:
            Workers that no machine runs.
        """
        absent = [
            name
            for name in missing
            if name not in listed and name in self._state.workers
        ]
        for name in absent:
            self._state.workers[name].record_absence(requested_at)
        return absent

    def has_ended(self, worker: WorkerView, run: ActiveRun) -> bool:
        """Return whether a run has ended with its worker and can't be started late.

        Tasks that last have their own bound.
        """
        return (
            not run.is_long_running
            and not worker.has_start_in_flight
            and worker.was_absent_after(self._find_last_start(worker, run))
        )

    def _list_last_starts(self, worker: WorkerView) -> list[float]:
        ends = [
            self._find_last_start(worker, run)
            for run in worker.runs.values()
            if not run.is_long_running
        ]
        # Tasks of former runs may wait as well.
        return (
            [*ends, worker.last_late_start_end] if worker.last_late_start_end else ends
        )

    def _find_last_start(self, worker: WorkerView, run: ActiveRun) -> float:
        """Return until when the worker could execute a start of a run, in seconds."""
        end = max(
            run.first_sent_at,
            run.late_start_until,
            worker.find_late_start_end(run.task),
        )
        return end if run.first_sent_at else max(end, self._state.former_starts_end)
