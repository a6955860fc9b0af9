"""Transactions that are relayed while paths to the store go down and come back."""

from asyncio import gather, get_running_loop, sleep
from random import Random

from jujubebarrow.errors.exceptions import StoreError, TransactionConflictError
from jujubebarrow.stores.transactions import ABSENT_REVISION, Transaction
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import Instance, JobCluster

FAULT_SECONDS = 8.0
LATE_WRITE_SECONDS = 15.0
"""Time after which no late write takes effect any more."""
SEED_COUNT = 4


class RelayedCommitTest(JobCase):
    def _run(self, seed: int) -> None:
        random = Random(seed)
        revisions: dict[str, int] = {}
        rejected: set[str] = set()
        conflicts: set[str] = set()

        async def change_paths(instances: list[Instance], end: float) -> None:
            while get_running_loop().time() < end:
                store = random.choice(instances).store
                store.is_disconnected = random.random() < 0.3
                store.is_rejecting_calls = random.random() < 0.2
                store.loss_probability = random.choice((0.0, 0.0, 0.3, 0.7))
                await sleep(random.uniform(0.02, 0.4))

        async def commit(instance: Instance, number: int, end: float) -> None:
            count = 0
            while get_running_loop().time() < end:
                count += 1
                key = f"control//trial/{number}-{count}"
                transaction = Transaction(
                    conditions={key: ABSENT_REVISION}, writes={key: {}}, nonce=key
                )
                try:
                    revisions[key] = await instance.relayed.commit(transaction)
                except TransactionConflictError:
                    conflicts.add(key)
                except StoreError as error:
                    if not error.may_have_applied:
                        rejected.add(key)
                await sleep(random.uniform(0.0, 0.2))

        async def scenario(cluster: JobCluster) -> None:
            await sleep(2.0)
            cluster.store.late_write_probability = 0.05
            cluster.store.response_loss_probability = 0.05
            end = get_running_loop().time() + FAULT_SECONDS
            instances = cluster.instances
            await gather(
                change_paths(instances, end),
                *(
                    commit(instance, number, end)
                    for number, instance in enumerate(instances * 3)
                ),
            )
            cluster.store.late_write_probability = 0.0
            cluster.store.response_loss_probability = 0.0
            await sleep(LATE_WRITE_SECONDS)
            rows = cluster.store.table.read("control//trial/").rows
            stored = {row.key: row.revision for row in rows}
            self.assertEqual(conflicts, set(), seed)
            self.assertEqual(rejected & stored.keys(), set(), seed)
            self.assertTrue(rejected, seed)
            wrong = {k for k, found in revisions.items() if stored.get(k) != found}
            self.assertEqual(wrong, set(), seed)

        self.run_scenario(scenario, seed=seed, instances=6)

    def test_transaction_reported_as_not_applied_never_takes_effect(self) -> None:
        for seed in range(1, SEED_COUNT + 1):
            self._run(seed)
