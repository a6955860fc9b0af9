"""Workers that refuse the orders of a pool's owner since they have seen a higher token.

The token may be that of a later owner of the pool, whose predecessor must send nothing
more. It may also be that of the owner of another pool that the worker has belonged to.
"""

import unittest
from asyncio import sleep
from dataclasses import replace

from jujubebarrow.coordinators.orders import RenewalOrder
from jujubebarrow.coordinators.pool_states import TOKENS_PER_CLAIM_COUNT, PoolState
from jujubebarrow.coordinators.worker_views import WorkerView
from jujubebarrow.identifiers import ZoneId
from jujubebarrow.runtimes.duty_stores import DUTY_PREFIX
from jujubebarrow.standins.emulated_workers import TaskBehaviour
from jujubebarrow.stores.row_keys import TableName, make_key
from jujubebarrow.stores.transactions import Transaction
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import CAPACITY, POOL, Instance, JobCluster
from jujubebarrow.tests.test_restarted_workers import OPTIONS
from jujubebarrow.workloads.identifiers import FenceToken, WorkerId
from jujubebarrow.workloads.resources import Resources
from jujubebarrow.workloads.step_specs import StepSpec
from jujubebarrow.workloads.worker_reports import WorkerEntry, WorkerState

WORKER = WorkerId("w0")
STEP = StepSpec(count=6, needs=Resources(1000, 500))
SPREAD_STEP = replace(STEP, most_per_worker=2)
LASTING_STEP = replace(STEP, long_running=True)
NOW = 100.0
CLAIM = FenceToken(7)
REVISION = FenceToken(12)


def write_row(cluster: JobCluster, key: str, value: dict[str, str]) -> int:
    """Write a row of the store; return its revision."""
    table = cluster.store.table
    table.commit(Transaction(writes={key: value}, nonce=f"{key}-{table.revision}"))
    return table.revision


def show_token(cluster: JobCluster, revision: int) -> None:
    """Show the token of a claim to a worker, as the claim's owner would."""
    token = FenceToken(revision * TOKENS_PER_CLAIM_COUNT + 1)
    cluster.workers[WORKER].apply_renewal(
        RenewalOrder(worker=WORKER, address="", token=token, acknowledged=0)
    )


def find_owner(cluster: JobCluster) -> Instance:
    owner = cluster.find_owner()
    assert owner is not None
    return owner


def list_events(cluster: JobCluster) -> list[str]:
    return [line["event"] for log in cluster.logs for line in log.lines]


class RefusedOwnerTest(JobCase):
    async def _start_lasting_tasks(self, cluster: JobCluster) -> None:
        behaviour = TaskBehaviour(is_long_running=True)
        await cluster.submit(1, (LASTING_STEP,), behaviour=behaviour)
        await sleep(2.0)

    def test_token_of_another_pool_ends_no_ownership(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await self._start_lasting_tasks(cluster)
            key = make_key(TableName.CONTROL, "", "duty/other")
            show_token(cluster, write_row(cluster, key, {"holder": "n9"}))
            job = await cluster.submit(2, (STEP,))
            self.assertTrue(await cluster.wait_for_phase(job, "completed", 6.0))
            self.assertNotIn("pool_displaced", list_events(cluster))
            self.assertIn("claim_confirmed", list_events(cluster))

        cluster = self.run_scenario(scenario, workers=1)
        self.assertEqual(max(cluster.count_starts().values()), 1)

    def test_token_of_a_later_owner_ends_the_ownership(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await self._start_lasting_tasks(cluster)
            owner = find_owner(cluster)
            key = make_key(TableName.CONTROL, "", DUTY_PREFIX + POOL)
            row = {"holder": "n9", "incarnation": "n9-1"}
            show_token(cluster, write_row(cluster, key, row))
            pool_owner = owner.node and owner.node.find_owner(POOL)
            assert pool_owner is not None
            self.assertTrue(await cluster.wait_for(lambda: pool_owner.is_closed, 2.0))
            self.assertNotIn("claim_confirmed", list_events(cluster))

        self.run_scenario(scenario)

    def test_refused_owner_sends_nothing_until_the_store_confirms_its_claim(
        self,
    ) -> None:
        async def scenario(cluster: JobCluster) -> None:
            # Owners ask workers with finite runs more often for their ends.
            behaviour = TaskBehaviour(seconds=60.0)
            await cluster.submit(1, (SPREAD_STEP,), behaviour=behaviour)
            await sleep(2.0)
            owner = find_owner(cluster)
            owner.store.is_disconnected = owner.is_isolated = True
            show_token(cluster, cluster.store.table.revision + 1)
            pool_owner = owner.node and owner.node.find_owner(POOL)
            assert pool_owner is not None
            state = pool_owner.coordinator.state
            self.assertTrue(
                await cluster.wait_for(lambda: state.is_claim_disputed, 2.0)
            )
            sent_bytes = owner.gateway.sent_bytes
            await sleep(1.0)
            self.assertEqual(owner.gateway.sent_bytes, sent_bytes)

        self.run_scenario(scenario)


class RefusedTokenTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state = PoolState(POOL, CLAIM, OPTIONS, 0.0)

    def make_worker(self, name: str, is_registered: bool) -> WorkerView:
        worker = self.state.ensure_worker(WorkerId(name))
        if is_registered:
            worker.entry = WorkerEntry(
                worker=worker.worker,
                started_at_ms=1,
                pool=POOL,
                address="address",
                zone=ZoneId("z"),
                state=WorkerState.READY,
                capacity=CAPACITY,
            )
        return worker

    def test_claim_is_disputed_until_it_is_confirmed_after_the_last_refusal(
        self,
    ) -> None:
        first = self.make_worker("w0", True)
        second = self.make_worker("w1", True)
        self.state.record_refusal(first, first.token, NOW)
        count = self.state.refusal_count
        self.state.record_refusal(second, second.token, NOW)
        self.state.confirm_claim(REVISION, count)
        self.assertTrue(self.state.is_claim_disputed)
        self.state.confirm_claim(REVISION, self.state.refusal_count)
        self.assertFalse(self.state.is_claim_disputed)

    def test_token_after_a_confirmed_claim_lies_between_earlier_and_later_claims(
        self,
    ) -> None:
        worker = self.make_worker("w0", True)
        self.state.record_refusal(worker, worker.token, NOW)
        self.state.confirm_claim(REVISION, self.state.refusal_count)
        self.assertFalse(worker.is_refusing)
        self.assertFalse(worker.has_seen_token)
        earlier = PoolState(POOL, FenceToken(REVISION - 1), OPTIONS, 0.0)
        later = PoolState(POOL, FenceToken(REVISION + 1), OPTIONS, 0.0)
        self.assertGreater(worker.token, earlier.issue_token())
        self.assertLess(worker.token, later.issue_token())

    def test_worker_of_another_pool_is_left_to_its_owner(self) -> None:
        """Guards against two owners that raise their tokens in turn."""
        worker = self.make_worker("w0", False)
        token = worker.token
        self.state.record_refusal(worker, worker.token, NOW)
        self.state.confirm_claim(REVISION, self.state.refusal_count)
        self.assertEqual(worker.token, token)
        self.assertTrue(worker.is_unreachable_after_lease)
        self.make_worker("w0", True)
        self.state.replace_refused_token(worker)
        self.assertGreater(worker.token, token)
        self.assertFalse(worker.is_refusing)
