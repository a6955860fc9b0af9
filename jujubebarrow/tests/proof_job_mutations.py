"""Mutation tests: the randomised job core run must detect each injected fault."""

import unittest
from typing import Any
from unittest.mock import patch

from jujubebarrow.coordinators.job_progresses import JobProgress
from jujubebarrow.coordinators.late_start_waits import LateStartWait
from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.coordinators.reconcilers import Reconciler
from jujubebarrow.coordinators.run_orders import RunOrders
from jujubebarrow.coordinators.worker_views import WorkerView
from jujubebarrow.placements import placers
from jujubebarrow.placements.free_rooms import FreeRoom
from jujubebarrow.tests.proof_job_core import REGRESSION_SEEDS, simulate
from jujubebarrow.workloads.finished_runs import FinishedRun

EARLY_EXPIRY_SECONDS = 4.5
"""Time by which the mutated code takes a lease as expired too early."""
SEEDS = (*REGRESSION_SEEDS, *range(1, 51))


def _drop_end(self: Reconciler, worker: WorkerView, finished: FinishedRun) -> None:
    worker.mark_recorded(finished.number)


HIDDEN_RUN_PATCHES = (
    patch.object(Reconciler, "_block_task", lambda self, key, now: None),
    patch.object(Reconciler, "_handle_unrecorded_end", _drop_end),
)
"""Take out what hides runs that nobody recorded: a task does not start beside such a
run, and its end counts."""


class JobMutationProof(unittest.TestCase):
    def assert_detected(self, *patches: Any) -> None:
        for each in patches:
            each.start()
            self.addCleanup(each.stop)
        for seed in SEEDS:
            if simulate(seed):
                return
        self.fail("no seed detected the injected fault")

    def test_leases_taken_as_expired_too_early(self) -> None:
        def get_early_end(self: WorkerView) -> float:
            return original(self) - EARLY_EXPIRY_SECONDS

        original: Any = WorkerView.timely_lease_end.fget
        self.assert_detected(
            patch.object(WorkerView, "lease_end", property(get_early_end)),
            patch.object(WorkerView, "timely_lease_end", property(get_early_end)),
        )

    def test_inherited_runs_dropped(self) -> None:
        def restore(self: JobProgress, document: dict[str, Any]) -> None:
            original(self, document)
            for _, _, step in self.steps():
                for task in step.tasks:
                    task.active = None

        original = JobProgress.restore
        self.assert_detected(
            patch.object(JobProgress, "restore", restore), *HIDDEN_RUN_PATCHES
        )

    def test_capacity_not_checked(self) -> None:
        self.assert_detected(
            patch.object(placers, "can_run", lambda step, worker, run_count: True),
            patch.object(FreeRoom, "may_fit", lambda self, needs: True),
            patch.object(WorkerView, "is_over_capacity", False),
        )

    def test_unacknowledged_starts_not_prevented_after_a_restart(self) -> None:
        self.assert_detected(
            patch.object(PoolState, "issue_token", lambda self: self.token),
            patch.object(RunOrders, "pop_late_start_stops", lambda self: []),
            # A task whose start may come late waits after a restart, and its end is not
            # acknowledged, which would hide the fault.
            patch.object(WorkerView, "late_starts_end", property(lambda self: 0.0)),
            patch.object(WorkerView, "find_late_start_end", lambda self, task: 0.0),
            *HIDDEN_RUN_PATCHES,
        )

    def test_unacknowledged_starts_moved_to_another_worker(self) -> None:
        def handle_start_result(
            self: RunOrders, run: Any, order: Any, result: Any, *times: float
        ) -> None:
            original(self, run, order, result, *times)
            worker = self._state.workers.get(run.worker)
            if result.outcome.value == "unanswered" and worker is not None:
                self._reconciler.record_unreported_end(
                    worker, run, "mutation", times[-1]
                )

        original = RunOrders.handle_start_result
        # Otherwise the task waits for the start that the worker may execute late.
        self.assert_detected(
            patch.object(RunOrders, "handle_start_result", handle_start_result),
            patch.object(LateStartWait, "must_wait", lambda *_: False),
        )

    def test_unreported_ends_not_recorded(self) -> None:
        self.assert_detected(
            patch.object(Reconciler, "record_unreported_end", lambda *arguments: None)
        )
