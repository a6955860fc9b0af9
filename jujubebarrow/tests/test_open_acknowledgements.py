"""Renewals that acknowledge ends and that a later incarnation of a worker executes.

The tests guard against the repetition of a task whose end no owner has seen, since a
late renewal for the former incarnation has acknowledged it.
"""

from asyncio import sleep

from jujubebarrow.coordinators.active_runs import ActiveRun, RunStage
from jujubebarrow.coordinators.order_results import OrderOutcome, OrderResult
from jujubebarrow.coordinators.orders import RenewalOrder, StartOrder
from jujubebarrow.coordinators.pool_states import TOKENS_PER_CLAIM_COUNT
from jujubebarrow.standins.emulated_workers import EmulatedWorker, TaskBehaviour
from jujubebarrow.tests.fakes.job_clusters import POOL
from jujubebarrow.tests.test_planning_work import make_record
from jujubebarrow.tests.test_restarted_workers import (
    CAPACITY,
    FIRST_START_MS,
    NOW,
    OPTIONS,
    SECOND_START_MS,
    WORKER,
    WorkerOrderCase,
)
from jujubebarrow.workloads.finished_runs import FinishedRun, RunOutcome
from jujubebarrow.workloads.identifiers import FenceToken
from jujubebarrow.workloads.worker_reports import RenewalReport

END_SECONDS = 0.05
"""Time in which a run without a duration ends on the emulated worker."""


class OpenAcknowledgementTest(WorkerOrderCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.job_count = 0

    def plan_task(self) -> ActiveRun:
        """Return a recorded run of a task of a new job."""
        self.job_count += 1
        self.coordinator.add_job(make_record(self.job_count, 1), None, NOW)
        (run,) = self.coordinator.plan(NOW, NOW)
        run.stage = RunStage.RECORDED
        return run

    def send(self, run: ActiveRun) -> StartOrder:
        order = self.coordinator.orders.make_start(run, NOW)
        assert order is not None
        run.is_start_sent = True
        return order

    def acknowledge(self, now: float = NOW) -> RenewalOrder:
        """Return a renewal that acknowledges the end of a task."""
        run = self.plan_task()
        self.finish(run, self.send(run), OrderOutcome.ACCEPTED)
        number = self.job_count
        ended = FinishedRun(number, run.task, run.run, RunOutcome.DONE, "")
        self.report(FIRST_START_MS, ended=(ended,))
        self.worker.mark_recorded(number)
        renewal = self.coordinator.make_renewal(self.worker, 0.0, now)
        self.assertEqual(renewal.acknowledged, number)
        return renewal

    def answer(
        self, now: float, has_open_copy: bool = False, born: int = FIRST_START_MS
    ) -> None:
        """Answer the renewal that was sent at a time."""
        report = RenewalReport(born, 50.0, (), (), has_open_copy=has_open_copy)
        self.coordinator.handle_renewal_report(self.worker, report, now, now)

    async def test_late_acknowledgement_does_not_forget_the_end_of_a_later_start(
        self,
    ) -> None:
        """Guards against a start and an earlier renewal that both come late."""
        renewal = self.acknowledge()
        order = self.send(self.plan_task())
        brief = TaskBehaviour(seconds=0.0)
        worker = EmulatedWorker(
            WORKER, POOL, CAPACITY, OPTIONS.lease, {}, default_behaviour=brief
        )
        self.assertIs(worker.start(order).outcome, OrderOutcome.ACCEPTED)
        await sleep(END_SECONDS)
        self.assertEqual(worker.running, [])
        worker.apply_renewal(renewal)
        self.assertEqual(worker.acknowledged_runs, [])

    async def test_start_after_an_answered_acknowledgement_keeps_the_token(
        self,
    ) -> None:
        """Guards against a new token for each start, of which a claim has few."""
        renewal = self.acknowledge(NOW + 1.0)
        self.answer(NOW + 1.0)
        self.assertEqual(self.send(self.plan_task()).token, renewal.token)

    async def test_start_after_a_resent_acknowledgement_has_a_higher_token(
        self,
    ) -> None:
        """Guards against the first copy of a renewal whose second one was answered."""
        renewal = self.acknowledge(NOW + 1.0)
        self.answer(NOW + 1.0, has_open_copy=True)
        self.assertGreater(self.send(self.plan_task()).token, renewal.token)

    async def test_start_after_a_failed_acknowledgement_has_a_higher_token(
        self,
    ) -> None:
        """Guards against a failed renewal that granted no lease and comes late."""
        self.worker.is_lease_recorded = False
        renewal = self.acknowledge(NOW + 1.0)
        self.worker.record_answer(NOW + 1.0)
        self.worker.record_answer(NOW)
        self.coordinator.handle_renewal_failure(self.worker, NOW + 1.0)
        self.assertEqual(self.worker.token, renewal.token)
        self.answer(NOW + 2.0)
        self.assertGreater(self.send(self.plan_task()).token, renewal.token)

    async def test_starts_beside_one_open_acknowledgement_share_a_token(self) -> None:
        """Guards against starts that fence each other while they are under way."""
        self.acknowledge()
        first = self.send(self.plan_task())
        self.assertEqual(self.send(self.plan_task()).token, first.token)

    async def test_result_of_an_order_with_the_former_token_counts(self) -> None:
        """Guards against runs that stay unknown after the token was raised."""
        earlier = self.plan_task()
        earlier_order = self.send(earlier)
        self.finish(earlier, earlier_order, OrderOutcome.UNACKNOWLEDGED)
        self.worker.raise_token(self.coordinator.state.issue_token())
        self.finish(earlier, earlier_order, OrderOutcome.ACCEPTED)
        self.assertIs(earlier.stage, RunStage.CONFIRMED)

    async def test_start_that_a_higher_token_has_overtaken_is_sent_again(self) -> None:
        """Guards against an owner that takes its own token for another owner's."""
        run = self.plan_task()
        order = self.send(run)
        self.worker.raise_token(self.coordinator.state.issue_token())
        self.finish(run, order, OrderOutcome.FENCED)
        self.assertFalse(self.coordinator.state.is_claim_disputed)
        self.assertFalse(self.worker.is_refusing)
        self.assertGreater(self.send(run).token, order.token)

    async def test_stop_that_a_higher_token_has_overtaken_is_sent_again(self) -> None:
        """Guards against a stop that is given up since a start has overtaken it."""
        run = self.plan_task()
        self.finish(run, self.send(run), OrderOutcome.ACCEPTED)
        self.coordinator.state.request_stop(run)
        stop = self.coordinator.orders.make_stop(run)
        assert stop is not None
        self.worker.raise_token(self.coordinator.state.issue_token())
        refusal = OrderResult(OrderOutcome.FENCED, 50.0)
        is_over = self.coordinator.orders.handle_stop_result(run, stop, refusal, NOW)
        self.assertFalse(is_over)
        self.assertFalse(self.coordinator.state.is_claim_disputed)

    async def test_orders_to_a_former_incarnation_are_not_for_the_present_one(
        self,
    ) -> None:
        """Guards against a token that was raised before a restart."""
        renewal = self.acknowledge()
        order = self.send(self.plan_task())
        self.register(SECOND_START_MS)
        self.assertFalse(self.worker.is_present_token(renewal.token))
        self.assertFalse(self.worker.is_present_token(order.token))

    async def test_claim_is_confirmed_before_its_tokens_are_used_up(self) -> None:
        """Guards against a start that has no higher token left and is sent anyway."""
        state = self.coordinator.state
        self.assertFalse(state.needs_confirmation)
        self.acknowledge()
        for _ in range(TOKENS_PER_CLAIM_COUNT // 2):
            state.issue_token()
        self.assertTrue(state.needs_confirmation)
        for _ in range(TOKENS_PER_CLAIM_COUNT // 2):
            last_token = state.issue_token()
        self.worker.raise_token(last_token)
        self.worker.record_acknowledgement_sent(NOW)
        run = self.plan_task()
        self.assertIsNone(self.coordinator.orders.make_start(run, NOW))
        state.confirm_claim(FenceToken(8), state.refusal_count)
        self.assertFalse(state.needs_confirmation)
        self.assertGreater(self.send(run).token, last_token)
