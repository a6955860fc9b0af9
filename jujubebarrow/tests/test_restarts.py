"""What a restarted instance knows of workers and keys.

Guards against a worker that has left, or a key that was withdrawn, which is in use
again after a restart of an instance.
"""

import unittest
from asyncio import get_running_loop, sleep

from msgspec import json

from jujubebarrow.metrics.registries import MetricsRegistry
from jujubebarrow.platform.documents import PlatformDocuments
from jujubebarrow.runtimes.fleet_watchers import FleetWatcher
from jujubebarrow.tests.fakes.fake_documents import ListLog
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import JobCluster
from jujubebarrow.tests.fakes.scripted_clients import (
    ScriptedStoreClient,
    make_scripted_store,
)
from jujubebarrow.tests.fakes.virtual_loops import LoopClock, run_virtual
from jujubebarrow.workloads.identifiers import WorkerId

KEY_FRESHNESS_SECONDS = 4.0


def _make_configuration(version: int, keys: list[str]) -> bytes:
    tenants = [{"Name": "longliners", "ApiKeys": keys}]
    return json.encode({"Version": version, "Tenants": tenants})


class RestartedInstanceTest(JobCase):
    def test_worker_that_has_left_gets_no_start_after_restarts(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await sleep(3.0)
            left = WorkerId("w0")
            cluster.unregister_worker(left)
            for instance in cluster.instances:
                await instance.kill()
            await sleep(1.0)
            for instance in cluster.instances:
                await instance.start()
            before = len(cluster.workers[left].run_history)
            for number in range(6):
                job = await cluster.submit(number)
                self.assertTrue(await cluster.wait_for_phase(job, "completed", 20.0))
            self.assertEqual(len(cluster.workers[left].run_history), before)

        self.run_scenario(scenario)


class RestartedKeysTest(unittest.TestCase):
    def test_withdrawn_key_is_unknown_after_a_restart(self) -> None:
        async def scenario() -> None:
            client = ScriptedStoreClient()
            client.write("config", _make_configuration(4, ["old", "new"]))
            watcher = self._make_watcher(client)
            watcher.open()
            await sleep(2.0)
            self.assertIsNotNone(watcher.fleet and watcher.fleet.find_team("old"))
            client.write("config", _make_configuration(9, ["new"]))
            await watcher.close()
            watcher = self._make_watcher(client)
            self.assertFalse(watcher.is_fresh)
            watcher.open()
            await sleep(2.0)
            # A late writer of the same row brings an older version back.
            client.write("config", _make_configuration(4, ["old", "new"]))
            await sleep(2.0)
            assert watcher.fleet is not None
            self.assertIsNone(watcher.fleet.find_team("old"))
            self.assertIsNotNone(watcher.fleet.find_team("new"))
            await watcher.close()

        run_virtual(scenario())

    def _make_watcher(self, client: ScriptedStoreClient) -> FleetWatcher:
        metrics, log = MetricsRegistry(), ListLog("n1")
        return FleetWatcher(
            make_scripted_store(client, log, metrics),
            PlatformDocuments(log, metrics),
            KEY_FRESHNESS_SECONDS,
            LoopClock(get_running_loop()),
            log,
            metrics,
        )
