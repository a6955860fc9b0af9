import unittest
from base64 import b64decode
from random import Random
from urllib.parse import urlsplit

from msgspec import json

from jujubebarrow.standins.ports import LOOPBACK
from jujubebarrow.tests.fakes.platform_sites import PlatformSite
from jujubebarrow.tests.fakes.platform_tables import PlatformTable


def read_worker_hosts(site: PlatformSite) -> set[str]:
    """Return the hosts of the workers' registered addresses."""
    values = [row["Value"] for key, row in site.table.rows.items() if "servers" in key]
    addresses = [json.decode(b64decode(value))["Address"] for value in values]
    return {urlsplit(f"//{address}").hostname or "" for address in addresses}


class StandInStoreTest(unittest.IsolatedAsyncioTestCase):
    async def test_calls_of_other_interfaces_are_answered_and_kept(self) -> None:
        table = PlatformTable()
        targets = ["/-/machines", "/-/hold", "/-/rows-get?part=", "/-/rows-feed"]
        responses = [await table.respond(target, b"{}") for target in targets]
        self.assertEqual([status for status, _ in responses], [404] * len(targets))
        self.assertEqual(table.foreign_calls, [f"{each} b'{{}}'" for each in targets])

    async def test_instances_of_a_killed_run_reach_no_stand_in_of_another(self) -> None:
        first, second = (PlatformSite(Random(1), entry_count=0) for _ in range(2))
        async with first, second:
            hosts = [read_worker_hosts(site) for site in (first, second)]
        self.assertEqual(hosts, [{first.host}, {second.host}])
        self.assertNotIn(LOOPBACK, hosts[0] | hosts[1])
        self.assertNotEqual(first.host, second.host)
