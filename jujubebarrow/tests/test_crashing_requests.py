"""Single requests that crash each upstream that starts them."""

import unittest
from asyncio import sleep

from jujubebarrow.tests.fakes.cluster_runs import QUEUES, TEAMS, WARM_UP_SECONDS
from jujubebarrow.tests.fakes.simulated_callers import Call, SimulatedCallers
from jujubebarrow.tests.fakes.simulated_clusters import SimulatedCluster
from jujubebarrow.tests.fakes.virtual_loops import run_virtual

CRASH_LIMIT = 3


class CrashingRequestTest(unittest.TestCase):
    def _count_crashes(self, seed: int) -> int:
        cluster = SimulatedCluster(seed, workers_per_zone=6)

        async def scenario() -> int:
            await cluster.open(cluster.make_team_records(TEAMS, QUEUES))
            cluster.add_key("tuna", "key of tuna")
            await sleep(WARM_UP_SECONDS)
            for worker in cluster.all_workers:
                worker.fault = "crash"
            call = Call("labels", "tuna", "key-0")
            host = cluster.live_hosts()[0]
            await SimulatedCallers(cluster)._send_once(call, host)
            self.assertEqual(call.outcome, "unknown")
            crashes = sum(worker.is_down for worker in cluster.all_workers)
            for other in cluster.live_hosts():
                cluster.kill(other)
            return crashes

        return run_virtual(scenario())

    def test_request_that_crashes_its_upstreams_is_not_retried_without_end(
        self,
    ) -> None:
        for seed in range(1, 6):
            self.assertLessEqual(self._count_crashes(seed), CRASH_LIMIT, seed)


if __name__ == "__main__":
    unittest.main()
