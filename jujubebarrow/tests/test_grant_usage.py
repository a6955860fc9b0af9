"""Use of a team's upper limit under random faults.

The tests guard against resources that stay counted as used after their run has ended.
"""

import unittest
from asyncio import create_task, sleep
from collections import defaultdict
from random import Random

from jujubebarrow.coordinators.pool_states import PoolState
from jujubebarrow.identifiers import TeamId
from jujubebarrow.tests.fakes.fake_machines import STANDBY
from jujubebarrow.tests.fakes.fault_injectors import FaultInjector
from jujubebarrow.tests.fakes.job_clusters import POOL, JobCluster
from jujubebarrow.tests.fakes.virtual_loops import run_virtual
from jujubebarrow.workloads.resources import NO_RESOURCES, Resources

CHECK_PERIOD_SECONDS = 0.05
SEEDS = range(1, 6)


def _find_usage_errors(state: PoolState) -> list[str]:
    """Return where the counted use differs from the active runs."""
    expected: dict[TeamId, Resources] = defaultdict(lambda: NO_RESOURCES)
    listed = set()
    for job in state.jobs.values():
        team = job.record.team
        for run in job.active_runs():
            listed.add((run.task, run.run))
            expected[team] = expected[team].plus(run.usage)
    errors = [
        f"{team}: counted {state.grants.used(team)}, active {expected[team]}"
        for team in {*expected, *(job.record.team for job in state.jobs.values())}
        if state.grants.used(team) != expected[team]
    ]
    reserved = {key for worker in state.workers.values() for key in worker.runs}
    if reserved != listed:
        errors.append(f"workers {reserved - listed}, jobs {listed - reserved}")
    return errors


def _simulate(seed: int) -> list[str]:
    errors: list[str] = []

    async def check(cluster: JobCluster) -> None:
        while True:
            for instance in cluster.instances:
                for pool in (POOL, STANDBY):
                    owner = instance.node and instance.node.find_owner(pool)
                    if owner:
                        errors.extend(_find_usage_errors(owner.coordinator.state))
            await sleep(CHECK_PERIOD_SECONDS)

    async def main() -> list[str]:
        cluster = JobCluster(seed=seed, instances=3, workers=3, standby=1)
        injector = FaultInjector(cluster, Random(seed))
        checker = create_task(check(cluster))
        try:
            await cluster.start()
            await injector.run()
            await sleep(10.0)
            if checker.done():
                checker.result()
        finally:
            checker.cancel()
            for instance in cluster.instances:
                await instance.kill()
        return errors[:1]

    return run_virtual(main())


class GrantUsageTest(unittest.TestCase):
    def test_random_faults_leave_no_use_of_an_ended_run(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(_simulate(seed), [])
