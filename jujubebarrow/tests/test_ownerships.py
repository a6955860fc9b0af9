"""Which instance claims which pool, and claims that must not be made."""

import unittest
from asyncio import sleep
from dataclasses import replace

from jujubebarrow.identifiers import IncarnationId, InstanceId, ZoneId
from jujubebarrow.ownerships.claim_planners import ClaimPlanner
from jujubebarrow.ownerships.lease_observers import LeaseObserver
from jujubebarrow.ownerships.ownership_rows import DutyId, DutyRow, InstanceRow
from jujubebarrow.runtimes.ownership_services import (
    OWNER_POLL_SECONDS,
    STARTUP_POLL_SECONDS,
)
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


def _make_instance(
    name: str, zone: str = "", pool_capacity: float = 1.0, is_stopping: bool = False
) -> InstanceRow:
    return InstanceRow(
        InstanceId(name),
        IncarnationId(f"{name}-1"),
        is_stopping,
        "",
        revision=1,
        zone=ZoneId(zone),
        pool_capacity=pool_capacity,
    )


class ClaimPlannerTest(unittest.TestCase):
    def _find_claims(
        self,
        instances: list[InstanceRow],
        duties: list[str],
        owners: dict[str, str] | None = None,
    ) -> dict[str, str]:
        """Return the instance that claims each duty at once."""
        rows = {
            DutyId(duty): DutyRow(
                DutyId(duty), InstanceId(owner), IncarnationId(f"{owner}-1"), 1
            )
            for duty, owner in (owners or {}).items()
        }
        claims: dict[str, str] = {}
        for instance in instances:
            observer = LeaseObserver(LEASE_SECONDS)
            observer.observe(instances, 10.0)
            planner = ClaimPlanner(instance.instance, observer)
            for duty in planner.choose(
                [DutyId(duty) for duty in duties], rows, OWNER_POLL_SECONDS, 10.0
            ):
                self.assertNotIn(duty, claims)
                claims[duty] = instance.instance
        return claims

    def test_pools_do_not_go_to_small_instances_while_large_ones_have_room(
        self,
    ) -> None:
        large = [_make_instance(f"large-{n}", pool_capacity=2.0) for n in range(3)]
        small = [_make_instance(f"small-{n}", pool_capacity=0.5) for n in range(30)]
        claims = self._find_claims(large + small, ["p0", "p1", "p2", "p3", "p4"])
        self.assertEqual(len(claims), 5)
        self.assertEqual(
            {name.partition("-")[0] for name in claims.values()}, {"large"}
        )

    def test_pools_of_equal_instances_are_spread_over_the_zones(self) -> None:
        instances = [
            _make_instance(f"{zone}-{n}", zone) for zone in "abc" for n in range(4)
        ]
        claims = self._find_claims(instances, ["p0", "p1", "p2", "p3", "p4", "p5"])
        zones = sorted(name.partition("-")[0] for name in claims.values())
        self.assertEqual(zones, ["a", "a", "b", "b", "c", "c"])

    def test_pool_of_a_stopping_owner_is_claimed_although_its_row_names_the_owner(
        self,
    ) -> None:
        instances = [_make_instance("n0", is_stopping=True), _make_instance("n1")]
        claims = self._find_claims(instances, ["p0"], {"p0": "n0"})
        self.assertEqual(claims, {"p0": "n1"})

    def test_instance_with_overdue_heartbeat_is_not_preferred(self) -> None:
        observer = LeaseObserver(LEASE_SECONDS)
        overdue = _make_instance("n0", pool_capacity=8.0)
        observer.observe([overdue, _make_instance("n1")], 10.0)
        observer.observe([replace(_make_instance("n1"), revision=2)], 11.3)
        planner = ClaimPlanner(InstanceId("n1"), observer)
        claims = planner.choose([DutyId("p0")], {}, OWNER_POLL_SECONDS, 11.3)
        self.assertEqual(claims, ["p0"])

    def test_preferred_instance_that_does_not_claim_delays_no_restart_for_long(
        self,
    ) -> None:
        observer = LeaseObserver(LEASE_SECONDS)
        preferred = _make_instance("n0", pool_capacity=8.0)
        observer.observe([preferred, _make_instance("n1")], 10.0)
        planner = ClaimPlanner(InstanceId("n1"), observer)
        duty = DutyId("p0")
        claims = [
            planner.choose([duty], {}, STARTUP_POLL_SECONDS, now)
            for now in (10.0, 10.3)
        ]
        self.assertEqual(claims, [[], [duty]])


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

    def test_pool_whose_jobs_the_owner_cannot_read_gets_another_owner(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            job = await cluster.submit(1)
            owner = cluster.find_owner()
            assert owner is not None
            rest = [other for other in cluster.instances if other is not owner]
            impaired = rest[0]
            impaired.store.unreadable_tables = {TableName.JOBS.value}
            # Without this the instance would read the jobs through another one.
            impaired.is_isolated = True
            rest[1].store.is_rejecting_calls = True
            await owner.kill()
            await sleep(4.0)
            rest[1].store.is_rejecting_calls = False
            serving = await cluster.wait_for(
                lambda: cluster.find_owner() is rest[1], 12.0
            )
            self.assertTrue(serving)
            self.assertTrue(
                await cluster.wait_for_phase(
                    job, "completed", 10.0, cluster.instances.index(rest[1])
                )
            )

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
