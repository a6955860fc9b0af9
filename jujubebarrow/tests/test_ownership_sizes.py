"""Size and zone of an instance, from its settings to the choice of the owners."""

import unittest
from asyncio import sleep
from dataclasses import replace
from pathlib import Path
from tempfile import TemporaryDirectory

from jujubebarrow.identifiers import IncarnationId, InstanceId, ZoneId
from jujubebarrow.ownerships.claim_planners import ClaimPlanner
from jujubebarrow.ownerships.lease_observers import LeaseObserver
from jujubebarrow.ownerships.ownership_rows import DutyId, InstanceRow
from jujubebarrow.platform.main import make_entry_options
from jujubebarrow.platform.settings_files import load_platform_settings
from jujubebarrow.runtimes.heartbeat_watchers import (
    make_heartbeat,
    make_heartbeat_key,
    read_heartbeat,
)
from jujubebarrow.runtimes.ownership_services import OWNER_POLL_SECONDS
from jujubebarrow.stores.row_keys import TableName
from jujubebarrow.stores.rows import Row
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import POOL, JobCluster

LEASE_SECONDS = 2.0
SETTINGS = """NodeName=frontend-a-1
Ip=10.0.0.1
Zone=a
ListenAddrs.FrontAddr=10.0.0.1:80
ListenAddrs.ReadyAddr=10.0.0.1:81
PortRange=90,99
platform.Address=10.0.0.2:80
Limits.LinkMbps=10
Limits.CpuShare=0.5
"""


def _make_instance(name: str, zone: str) -> InstanceRow:
    return InstanceRow(
        InstanceId(name), IncarnationId(f"{name}-1"), False, "", 1, ZoneId(zone), 0.5
    )


class InstanceSizeTest(unittest.TestCase):
    def test_heartbeat_does_not_lose_zone_and_size(self) -> None:
        row = _make_instance("n0", "a")
        stored = Row(
            key=make_heartbeat_key(row.instance), revision=1, value=make_heartbeat(row)
        )
        self.assertEqual(read_heartbeat(stored), row)

    def test_heartbeat_of_an_earlier_version_is_readable(self) -> None:
        row = _make_instance("n0", "a")
        value = make_heartbeat(row)
        del value["zone"], value["pools"]
        stored = Row(key=make_heartbeat_key(row.instance), revision=1, value=value)
        expected = replace(row, zone=ZoneId(""), pool_capacity=1.0)
        self.assertEqual(read_heartbeat(stored), expected)

    def test_size_in_the_settings_is_not_ignored(self) -> None:
        with TemporaryDirectory() as folder:
            path = Path(folder) / "settings"
            path.write_text(SETTINGS)
            settings = load_platform_settings(path)
        options = make_entry_options(settings, IncarnationId("1"))
        self.assertEqual((options.zone, options.pool_capacity), ("a", 0.5))

    def test_no_zone_gets_two_pools_more_than_another(self) -> None:
        instances = [_make_instance(f"{z}-{n}", z) for z in "abc" for n in range(4)]
        for prefix in "pqrstuvw":
            duties = [DutyId(f"{prefix}{number}") for number in range(3)]
            zones = []
            for instance in instances:
                observer = LeaseObserver(LEASE_SECONDS)
                observer.observe(instances, 10.0)
                planner = ClaimPlanner(instance.instance, observer)
                claims = planner.choose(duties, {}, OWNER_POLL_SECONDS, 10.0)
                zones += [instance.zone for _ in claims]
            self.assertEqual(sorted(zones), ["a", "b", "c"], prefix)


class UnloadedPoolTest(JobCase):
    def test_only_instance_does_not_release_a_pool_that_it_fails_to_load(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await cluster.submit(1)
            instance = cluster.instances[0]
            await instance.kill()
            await sleep(3.0)
            await instance.start()
            instance.store.unreadable_tables = {TableName.JOBS.value}
            await sleep(20.0)
            claims = [
                line
                for line in instance.log.lines
                if line["event"] == "duty_claimed" and line["duty"] == POOL
            ]
            self.assertEqual(len(claims), 1)
            instance.store.unreadable_tables = set()
            self.assertTrue(
                await cluster.wait_for(lambda: cluster.find_owner() is instance, 3.0)
            )

        self.run_scenario(scenario, instances=1)
