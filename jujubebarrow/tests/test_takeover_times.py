"""Time without an owner when the store, or the other instances, come back late."""

from asyncio import gather, get_running_loop, sleep

from jujubebarrow.ownerships.lease_observers import EXPIRY_MARGIN_SECONDS
from jujubebarrow.runtimes.heartbeat_watchers import (
    FEED_SPACING_SECONDS,
    FEED_WAIT_SECONDS,
)
from jujubebarrow.runtimes.ownership_services import LEASE_SECONDS, OWNER_POLL_SECONDS
from jujubebarrow.tests.fakes.job_cases import JobCase
from jujubebarrow.tests.fakes.job_clusters import JobCluster

TAKEOVER_LIMIT_SECONDS = (
    LEASE_SECONDS
    + EXPIRY_MARGIN_SECONDS
    + FEED_WAIT_SECONDS
    + FEED_SPACING_SECONDS
    + OWNER_POLL_SECONDS
)
"""A lease, the longest age of the last read, and a poll of the owners."""
OUTAGE_SECONDS = 1.0
OUTAGES_SECONDS = (0.6, 1.2, 1.6, 1.9, 2.3, 3.1, 4.5)
RESTART_SECONDS = 0.6
RESTART_LIMIT_SECONDS = 1.0
"""Objective of a short job."""
INSTANCE_COUNT = 10
RESTARTED_COUNT = 7
SEEDS = range(1, 6)


async def _wait_for_owner(cluster: JobCluster) -> float:
    """Return the seconds until an instance serves the pool."""
    began_at = get_running_loop().time()
    await cluster.wait_for(lambda: cluster.find_owner() is not None, 60.0)
    return get_running_loop().time() - began_at


def _count_claims(cluster: JobCluster) -> int:
    lines = [line for log in cluster.logs for line in log.lines]
    return sum(line["event"] == "duty_claimed" for line in lines)


class TakeoverTimeTest(JobCase):
    def test_short_outage_of_the_store_does_not_restart_the_wait_for_a_lost_owner(
        self,
    ) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await sleep(5.0)
            cluster.store.is_down = True
            await sleep(OUTAGE_SECONDS / 2)
            owner = cluster.find_owner()
            assert owner is not None
            await owner.kill()
            await sleep(OUTAGE_SECONDS / 2)
            cluster.store.is_down = False
            seconds = await _wait_for_owner(cluster)
            self.assertLess(seconds, TAKEOVER_LIMIT_SECONDS)

        for seed in SEEDS:
            self.run_scenario(scenario, seed=seed, instances=INSTANCE_COUNT)

    def test_outage_of_the_store_moves_no_pool_of_a_live_owner(self) -> None:
        async def scenario(cluster: JobCluster) -> None:
            await sleep(5.0)
            claim_count = _count_claims(cluster)
            for seconds in OUTAGES_SECONDS:
                cluster.store.is_down = True
                await sleep(seconds)
                cluster.store.is_down = False
                await sleep(6.0)
            self.assertEqual(_count_claims(cluster), claim_count)

        for seed in SEEDS:
            self.run_scenario(scenario, seed=seed, instances=INSTANCE_COUNT)

    def test_old_heartbeats_do_not_delay_the_claim_after_a_restart_of_all(self) -> None:
        # Three instances do not come back, the former owner among them.
        async def scenario(cluster: JobCluster) -> None:
            await sleep(5.0)
            owner = cluster.find_owner()
            assert owner is not None
            await gather(*(instance.kill() for instance in cluster.instances))
            await sleep(RESTART_SECONDS)
            others = [one for one in cluster.instances if one is not owner]
            for instance in others[:RESTARTED_COUNT]:
                await instance.start()
            seconds = await _wait_for_owner(cluster)
            self.assertLess(seconds, RESTART_LIMIT_SECONDS)

        for seed in SEEDS:
            self.run_scenario(scenario, seed=seed, instances=INSTANCE_COUNT)
