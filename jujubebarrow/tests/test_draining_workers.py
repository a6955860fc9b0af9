"""Starts on workers that drain.

The tests guard against tasks that are started on a worker after it has reported that it
drains, because a start that got no answer was sent again.
"""

import unittest

from jujubebarrow.coordinators.active_runs import ActiveRun, RunStage
from jujubebarrow.coordinators.order_results import OrderOutcome, OrderResult
from jujubebarrow.coordinators.pool_coordinators import PoolCoordinator
from jujubebarrow.identifiers import ZoneId
from jujubebarrow.tests.fakes.fake_documents import ListLog
from jujubebarrow.tests.fakes.job_clusters import POOL
from jujubebarrow.tests.test_planning_work import make_record
from jujubebarrow.tests.test_restarted_workers import (
    CAPACITY,
    FIRST_START_MS,
    NOW,
    OPTIONS,
    WORKER,
)
from jujubebarrow.workloads.identifiers import FenceToken
from jujubebarrow.workloads.worker_reports import (
    RenewalReport,
    WorkerEntry,
    WorkerState,
)

REMAINING_SECONDS = 10.0


class DrainingWorkerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.coordinator = PoolCoordinator(POOL, FenceToken(7), OPTIONS, 0.0, ListLog())
        self.register(WorkerState.READY)
        worker = self.coordinator.state.workers[WORKER]
        report = RenewalReport(FIRST_START_MS, 50.0, (), ())
        self.coordinator.handle_renewal_report(worker, report, NOW, NOW)

    def register(self, state: WorkerState) -> None:
        entry = WorkerEntry(
            worker=WORKER,
            started_at_ms=FIRST_START_MS,
            pool=POOL,
            address="address",
            zone=ZoneId("z"),
            state=state,
            remaining=REMAINING_SECONDS,
            capacity=CAPACITY,
        )
        self.coordinator.handle_registration(entry, NOW)

    def record_run(self) -> ActiveRun:
        self.coordinator.add_job(make_record(0, 1), None, NOW)
        [run] = self.coordinator.plan(NOW, NOW)
        run.stage = RunStage.RECORDED
        return run

    async def test_start_without_answer_is_stopped_and_not_repeated(self) -> None:
        run = self.record_run()
        order = self.coordinator.orders.make_start(run, NOW)
        assert order is not None
        run.is_start_sent = True
        self.coordinator.orders.handle_start_result(
            run, order, OrderResult(OrderOutcome.UNACKNOWLEDGED), NOW, NOW
        )
        self.register(WorkerState.DRAINING)
        self.assertIsNone(self.coordinator.orders.make_start(run, NOW))
        self.assertEqual(self.coordinator.orders.pop_stops(), [run])

    async def test_start_that_was_not_sent_is_given_up(self) -> None:
        run = self.record_run()
        self.register(WorkerState.DRAINING)
        self.assertIsNone(self.coordinator.orders.make_start(run, NOW))
        self.assertFalse(self.coordinator.orders.is_active(run))
