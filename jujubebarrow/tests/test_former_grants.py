"""Grants that a former owner has left.

The test guards against a long wait for such a grant.
"""

import unittest
from asyncio import create_task, get_running_loop, sleep
from random import Random

from jujubebarrow.identifiers import TeamId
from jujubebarrow.limits.grant_registries import GrantRegistry
from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.runtimes.grant_controllers import GrantController
from jujubebarrow.runtimes.grant_watchers import GrantWatcher
from jujubebarrow.standins.emulated_stores import EmulatedStore, SharedStore
from jujubebarrow.stores.row_keys import TableName, make_key
from jujubebarrow.stores.transactions import Transaction
from jujubebarrow.tests.fakes.fake_documents import ListLog
from jujubebarrow.tests.fakes.virtual_loops import LoopClock, run_virtual
from jujubebarrow.workloads.identifiers import FenceToken
from jujubebarrow.workloads.resources import Resources

LIMIT = Resources(4000, 8000)
TEAM_COUNT = 61
BUSY_TEAM_COUNT = 5
SLOW_STORE_SECONDS = 0.01
WAIT_LIMIT_SECONDS = 3.0


class AwaitedFormerGrantTest(unittest.TestCase):
    def test_awaited_grant_of_a_former_owner_is_released_before_other_grants(
        self,
    ) -> None:
        run_virtual(self._wait_for_last_team())

    async def _wait_for_last_team(self) -> None:
        loop = get_running_loop()
        shared = SharedStore(Random(1))
        shared.extra_delay_seconds = SLOW_STORE_SECONDS
        teams = [TeamId(f"t{number:02}") for number in range(TEAM_COUNT)]
        for team in teams:
            key = make_key(TableName.GRANTS, team, "grant")
            row = {"pools": {"p0": [1, *LIMIT]}}
            shared.table.commit(Transaction(writes={key: row}, nonce="former"))
        registries = []
        for number in range(2):
            registry = GrantRegistry()
            registry.set_limits(dict.fromkeys(teams, LIMIT))
            registries.append(registry)
            metrics, clock = MetricsRegistry(), LoopClock(loop)
            store, log = EmulatedStore(shared, metrics), ListLog(f"n{number}")
            watcher = GrantWatcher(store, clock, log, metrics)
            controller = GrantController(
                f"p{number}",
                FenceToken(number + 2),
                registry,
                store,
                watcher,
                lambda: None,
                lambda: None,
                clock,
                log,
                metrics,
            )
            watcher.open()
            create_task(controller.run())
        too_large = LIMIT.times(2)
        for team in teams[:BUSY_TEAM_COUNT]:
            registries[0].request_start(team, too_large)
        started_at = loop.time()
        needs = Resources(1000, 100)
        while not registries[1].request_start(teams[-1], needs):
            self.assertLess(loop.time() - started_at, WAIT_LIMIT_SECONDS)
            await sleep(0.1)
            registries[1].clear_requests()
