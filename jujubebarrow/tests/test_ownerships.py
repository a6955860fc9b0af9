"""Claims of pools by instances that cannot tell which other instances are alive."""

import unittest
from asyncio import sleep

from jujubebarrow.identifiers import IncarnationId, InstanceId
from jujubebarrow.ownerships.lease_observers import LeaseObserver
from jujubebarrow.ownerships.ownership_rows import InstanceRow
from jujubebarrow.stores.row_keys import TableName
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import JobCluster

LEASE_SECONDS = 2.0
OWNER = InstanceId("n0")


def _make_row(revision: int) -> InstanceRow:
    return InstanceRow(OWNER, IncarnationId("n0-1"), False, "", revision)


def _count_claims(cluster: JobCluster) -> int:
    return sum(
        line["event"] == "duty_claimed" for log in cluster.logs for line in log.lines
    )


def _set_unreadable_tables(cluster: JobCluster, tables: set[str]) -> None:
    for instance in cluster.instances:
        instance.store.unreadable_tables = tables


class LeaseObserverTest(unittest.TestCase):
    def test_time_without_a_read_does_not_count_as_silence_of_an_instance(self) -> None:
        observer = LeaseObserver(LEASE_SECONDS)
        observer.observe([_make_row(1)], 10.0)
        self.assertTrue(observer.is_alive(OWNER, 14.0))

    def test_instance_without_a_new_heartbeat_in_later_reads_is_not_alive(self) -> None:
        observer = LeaseObserver(LEASE_SECONDS)
        observer.observe([_make_row(1)], 10.0)
        for tenths in range(3, 25, 3):
            observer.observe([], 10.0 + tenths / 10)
        self.assertFalse(observer.is_alive(OWNER, 12.5))


class BlindInstanceTest(JobCase):
    def test_instance_that_reads_no_heartbeats_claims_no_pool_of_a_live_owner(
        self,
    ) -> None:
        async def scenario(cluster: JobCluster) -> None:
            owner = cluster.find_owner()
            claim_count = _count_claims(cluster)
            _set_unreadable_tables(cluster, {TableName.HEARTBEATS.value})
            await sleep(5.0)
            self.assertIs(cluster.find_owner(), owner)
            self.assertEqual(_count_claims(cluster), claim_count)

        self.run_scenario(scenario)

    def test_store_outage_that_ends_later_for_heartbeats_moves_no_pool(self) -> None:
        for seed in range(1, 9):

            async def scenario(cluster: JobCluster, seed: int = seed) -> None:
                owner = cluster.find_owner()
                claim_count = _count_claims(cluster)
                cluster.store.is_down = True
                await sleep(3.0 + seed / 10)
                cluster.store.is_down = False
                _set_unreadable_tables(cluster, {TableName.HEARTBEATS.value})
                await sleep(1.0)
                _set_unreadable_tables(cluster, set())
                await sleep(4.0)
                self.assertIs(cluster.find_owner(), owner)
                self.assertEqual(_count_claims(cluster), claim_count)

            self.run_scenario(scenario, seed=seed, instances=8)
