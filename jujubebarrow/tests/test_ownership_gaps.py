"""Pools that stay unserved, or move, although an instance could serve them."""

import unittest
from asyncio import sleep
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from random import Random
from typing import Any, NoReturn
from unittest.mock import patch

from jujubebarrow.errors.exceptions import StoreError
from jujubebarrow.identifiers import IncarnationId, InstanceId
from jujubebarrow.ownerships.claim_planners import ClaimPlanner
from jujubebarrow.ownerships.lease_observers import LeaseObserver
from jujubebarrow.ownerships.ownership_rows import DutyId, DutyRow, InstanceRow
from jujubebarrow.runtimes.ownership_services import OWNER_POLL_SECONDS
from jujubebarrow.standins.emulated_stores import EmulatedStore
from jujubebarrow.stores.commit_results import CommitResult
from jujubebarrow.stores.row_keys import TableName
from jujubebarrow.stores.rows import RowSet
from jujubebarrow.stores.transactions import Transaction
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import POOL, QUEUE, Instance, JobCluster
from jujubebarrow.tests.test_job_counts import commit

LEASE_SECONDS = 2.0
DUTY_KEY = f"control//duty/{POOL}"


def _count_claims(instance: Instance) -> int:
    return sum(
        line["event"] == "duty_claimed" and line["duty"] == POOL
        for line in instance.log.lines
    )


def _find_owner(cluster: JobCluster) -> Instance:
    owner = cluster.find_owner()
    assert owner is not None
    return owner


def _find_other_number(cluster: JobCluster, instance: Instance) -> int:
    return (cluster.instances.index(instance) + 1) % len(cluster.instances)


@contextmanager
def _failing_calls(names: tuple[str, ...], random: Random) -> Iterator[None]:
    """Let calls to the store fail on all instances, each after another time."""

    async def fail(store: EmulatedStore, *arguments: Any) -> NoReturn:
        await sleep(random.uniform(0.3, 0.9))
        raise StoreError("no answer", True)

    with ExitStack() as stack:
        for name in names:
            stack.enter_context(patch.object(EmulatedStore, name, fail))
        yield


class UnreadHeartbeatTest(unittest.TestCase):
    def test_claim_made_after_the_last_read_of_heartbeats_is_not_taken_over(
        self,
    ) -> None:
        # The holder has restarted; its new heartbeat is later than the last read.
        observer = LeaseObserver(LEASE_SECONDS)
        former = InstanceRow(InstanceId("n0"), IncarnationId("n0-1"), False, "", 1)
        own = InstanceRow(
            InstanceId("n1"), IncarnationId("n1-1"), False, "", 2, "", 8.0
        )
        observer.observe([former, own], 10.0)
        row = DutyRow(DutyId("p0"), InstanceId("n0"), IncarnationId("n0-2"), 9)
        planner = ClaimPlanner(InstanceId("n1"), observer)
        claims = planner.choose([row.duty], {row.duty: row}, OWNER_POLL_SECONDS, 10.9)
        self.assertEqual(claims, [])


class OwnershipGapsTest(JobCase):
    def test_instance_does_not_take_over_its_own_pool_before_it_reads_its_heartbeat(
        self,
    ) -> None:
        # After a restart the last heartbeat that it has read is of its former process.
        read_changes = EmulatedStore.read_changes
        try_commit = EmulatedStore.try_commit

        async def fail_to_read_heartbeats(
            store: EmulatedStore, prefix: str, since: int, wait: float
        ) -> RowSet:
            if prefix != "heartbeats/":
                return await read_changes(store, prefix, since, wait)
            await sleep(0.9)
            raise StoreError("no answer", True)

        async def write_heartbeats_slowly(
            store: EmulatedStore, sent: Transaction
        ) -> CommitResult:
            if any(key.startswith("heartbeats/") for key in sent.writes):
                await sleep(0.1)
            return await try_commit(store, sent)

        async def scenario(cluster: JobCluster) -> None:
            instance = cluster.instances[0]
            await instance.kill()
            commit(cluster, {DUTY_KEY: {"holder": "", "incarnation": ""}})
            await sleep(5.0)
            with (
                patch.object(EmulatedStore, "read_changes", fail_to_read_heartbeats),
                patch.object(EmulatedStore, "try_commit", write_heartbeats_slowly),
            ):
                await instance.start()
                await sleep(1.4)
            await sleep(3.0)
            self.assertEqual(_count_claims(instance), 1)

        self.run_scenario(scenario, instances=1)

    def _run_outage(self, calls: tuple[str, ...], seconds: float, seed: int) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await sleep(1.0 + seed * 0.07)
            owner = cluster.find_owner()
            claim_count = sum(map(_count_claims, cluster.instances))
            with _failing_calls(calls, Random(seed)):
                await sleep(seconds)
            await sleep(6.0)
            self.assertIs(cluster.find_owner(), owner, seed)
            self.assertEqual(sum(map(_count_claims, cluster.instances)), claim_count)

        self.run_scenario(scenario, seed=seed, instances=8)

    def test_outage_of_writes_alone_moves_no_pool(self) -> None:
        for seed in range(1, 9):
            self._run_outage(("try_commit",), 3.0, seed)

    def test_outage_shorter_than_a_lease_moves_no_pool(self) -> None:
        for seed in (*range(1, 9), 12, 13, 26, 38, 39):
            self._run_outage(("try_commit", "read", "read_changes"), 1.4, seed)

    def test_pool_whose_owner_receives_no_new_jobs_gets_another_owner(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            owner = _find_owner(cluster)
            owner.store.unreadable_tables = {TableName.JOBS.value}
            owner.is_isolated = True
            other = _find_other_number(cluster, owner)
            job = await cluster.submit(1, instance=other)
            self.assertTrue(
                await cluster.wait_for_phase(job, "completed", 30.0, instance=other)
            )

        self.run_scenario(scenario)

    def test_pool_whose_owner_stores_no_progress_gets_another_owner(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            owner = _find_owner(cluster)
            owner.store.unwritable_tables = {TableName.PROGRESS.value}
            owner.is_isolated = True
            other = _find_other_number(cluster, owner)
            job = await cluster.submit(1, instance=other)
            self.assertTrue(
                await cluster.wait_for_phase(job, "completed", 30.0, instance=other)
            )

        self.run_scenario(scenario)

    def test_failed_polls_of_an_owner_do_not_extend_its_time_without_service(
        self,
    ) -> None:
        read = EmulatedStore.read

        async def scenario(cluster: JobCluster) -> None:
            owner = _find_owner(cluster)
            owner.store.unreadable_tables = {TableName.JOBS.value}
            owner.is_isolated = True
            poll_count = 0

            async def fail_every_second_poll(
                store: EmulatedStore, prefix: str, limit: int = 0
            ) -> RowSet:
                nonlocal poll_count
                if store is owner.store and prefix == "control//":
                    poll_count += 1
                    if poll_count % 2:
                        raise StoreError("status 503", False)
                return await read(store, prefix, limit)

            other = _find_other_number(cluster, owner)
            with patch.object(EmulatedStore, "read", fail_every_second_poll):
                job = await cluster.submit(1, instance=other)
                self.assertTrue(
                    await cluster.wait_for_phase(job, "completed", 30.0, instance=other)
                )

        self.run_scenario(scenario)

    def test_transactions_that_no_owner_can_store_move_a_pool_ever_more_rarely(
        self,
    ) -> None:
        async def scenario(cluster: JobCluster) -> None:
            for instance in cluster.instances:
                instance.store.unwritable_tables = {TableName.PROGRESS.value}
            await cluster.submit(1)
            claim_count = sum(map(_count_claims, cluster.instances))
            await sleep(60.0)
            moves = sum(map(_count_claims, cluster.instances)) - claim_count
            self.assertLessEqual(moves, 6)

        self.run_scenario(scenario)

    def test_pool_whose_owner_reads_neither_jobs_nor_heartbeats_gets_another_owner(
        self,
    ) -> None:
        async def scenario(cluster: JobCluster) -> None:
            owner = _find_owner(cluster)
            owner.store.unreadable_tables = {
                TableName.JOBS.value,
                TableName.HEARTBEATS.value,
            }
            owner.is_isolated = True
            other = _find_other_number(cluster, owner)
            job = await cluster.submit(1, instance=other)
            self.assertTrue(
                await cluster.wait_for_phase(job, "completed", 30.0, instance=other)
            )

        self.run_scenario(scenario)

    def test_pool_whose_owner_cannot_load_a_new_queue_gets_another_owner(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await sleep(2.0)
            owner = _find_owner(cluster)
            owner.store.unreadable_tables = {TableName.PROGRESS.value}
            owner.is_isolated = True
            other = _find_other_number(cluster, owner)
            job = await cluster.submit(1, instance=other)
            self.assertTrue(
                await cluster.wait_for_phase(job, "completed", 30.0, instance=other)
            )

        self.run_scenario(scenario)

    def test_pool_whose_owner_cannot_reload_its_jobs_gets_another_owner(self) -> None:
        # The change feed never reports the second job.
        async def scenario(cluster: JobCluster) -> None:
            await cluster.submit(1)
            await sleep(3.0)
            owner = _find_owner(cluster)
            owner.store.unreadable_tables = {TableName.PROGRESS.value}
            owner.is_isolated = True
            other = _find_other_number(cluster, owner)
            cluster.store.history_truncation_count += 1
            job = await cluster.submit(2, instance=other)
            cluster.store.oldest_readable_revision = cluster.store.table.revision + 1
            cluster.store.history_truncation_count += 1
            await sleep(0.3)
            cluster.store.oldest_readable_revision = 0
            self.assertTrue(
                await cluster.wait_for_phase(job, "completed", 30.0, instance=other)
            )

        self.run_scenario(scenario)

    def test_pool_whose_owner_reaches_no_worker_gets_another_owner(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            owner = _find_owner(cluster)
            owner.gateway.is_disconnected = True
            other = _find_other_number(cluster, owner)
            job = await cluster.submit(1, instance=other)
            self.assertTrue(
                await cluster.wait_for_phase(job, "completed", 30.0, instance=other)
            )

        self.run_scenario(scenario)

    def test_pool_is_not_claimed_again_after_its_release_was_not_stored(self) -> None:
        try_commit = EmulatedStore.try_commit

        async def scenario(cluster: JobCluster) -> None:
            await cluster.submit(1)
            owner = _find_owner(cluster)
            impaired, last = (
                other for other in cluster.instances if other is not owner
            )
            impaired.store.unreadable_tables = {TableName.JOBS.value}
            impaired.is_isolated = True
            last.store.is_rejecting_calls = True

            async def fail_to_release(
                store: EmulatedStore, sent: Transaction
            ) -> CommitResult:
                is_release = any(
                    value and value.get("holder") == ""
                    for value in sent.writes.values()
                )
                if not is_release:
                    return await try_commit(store, sent)
                await sleep(0.9)
                raise StoreError("no answer", True)

            await owner.kill()
            self.assertTrue(
                await cluster.wait_for(lambda: _count_claims(impaired) > 0, 10.0)
            )
            last.store.is_rejecting_calls = False
            claim_count = _count_claims(impaired)
            with patch.object(EmulatedStore, "try_commit", fail_to_release):
                await sleep(12.0)
            self.assertEqual(_count_claims(impaired), claim_count)

        self.run_scenario(scenario)

    def test_pool_that_no_instance_loads_quickly_is_loaded_at_last(self) -> None:
        read = EmulatedStore.read

        async def read_slowly(
            store: EmulatedStore, prefix: str, limit: int = 0
        ) -> RowSet:
            if prefix == f"progress/{QUEUE}/":
                await sleep(7.0)
            return await read(store, prefix, limit)

        async def scenario(cluster: JobCluster) -> None:
            await cluster.submit(1)
            await sleep(2.0)
            with patch.object(EmulatedStore, "read", read_slowly):
                await _find_owner(cluster).kill()
                self.assertTrue(
                    await cluster.wait_for(
                        lambda: cluster.find_owner() is not None, 60.0
                    )
                )

        self.run_scenario(scenario)

    def test_store_outage_does_not_count_as_failure_to_load(self) -> None:
        for seed in range(1, 9):

            async def scenario(cluster: JobCluster, seed: int = seed) -> None:
                await cluster.submit(1)
                await sleep(seed * 0.17)
                owner = _find_owner(cluster)
                others = [other for other in cluster.instances if other is not owner]
                for other in others:
                    other.store.unreadable_tables = {TableName.JOBS.value}
                await owner.kill()
                await cluster.wait_for(lambda: any(map(_count_claims, others)), 10.0)
                cluster.store.is_down = True
                await sleep(7.0)
                cluster.store.is_down = False
                await sleep(3.0)
                reasons = [
                    line["reason"]
                    for other in others
                    for line in other.log.lines
                    if line["event"] == "duty_dropped"
                ]
                self.assertNotIn("not served", reasons, seed)

            self.run_scenario(scenario, seed=seed)
