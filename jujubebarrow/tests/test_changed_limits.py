"""Upper limits that change while runs are active.

The tests guard against pools that together exceed a limit.
"""

import unittest
from asyncio import get_running_loop, sleep
from collections.abc import Awaitable, Callable
from random import Random

from jujubebarrow.limits.grant_planners import plan_grant
from jujubebarrow.standins.emulated_stores import SharedStore
from jujubebarrow.tests.fakes.grant_pools import GrantedTask, GrantPool
from jujubebarrow.tests.fakes.job_clusters import TEAM
from jujubebarrow.tests.fakes.virtual_loops import run_virtual
from jujubebarrow.workloads.resources import NO_RESOURCES, Resources

LIMIT = Resources(4000, 8000)
LOW_LIMIT = Resources(1000, 8000)
LONG_SECONDS = 60.0
RANDOM_SECONDS = 60.0
APPLY_SECONDS = 3.0
"""Time within which the pools apply a configuration."""
UNLIMITED = 10**9


class ChangedLimitTest(unittest.TestCase):
    def _run_pools(
        self, scenario: Callable[[GrantPool, GrantPool], Awaitable[None]]
    ) -> None:
        async def main() -> None:
            store = SharedStore(Random(1))
            pools = [GrantPool(name, TEAM, LIMIT, store) for name in ("p0", "p1")]
            for number, pool in enumerate(pools):
                pool.open(number + 1)
            await sleep(1.0)
            await scenario(*pools)
            for pool in pools:
                await pool.close()

        run_virtual(main())

    def test_grant_is_never_smaller_than_the_resources_of_the_runs(self) -> None:
        used = Resources(3000, 100)
        plan = plan_grant(LOW_LIMIT, Resources(500, 0), used, [], False)
        self.assertGreaterEqual(plan.granted.cpu, used.cpu)

    def test_no_pool_starts_runs_while_another_exceeds_a_lowered_limit(self) -> None:
        async def scenario(first: GrantPool, second: GrantPool) -> None:
            first.tasks.append(GrantedTask(Resources(3000, 100), LONG_SECONDS))
            await sleep(1.0)
            second.tasks.append(GrantedTask(Resources(500, 100), 1.0))
            await sleep(1.5)
            for pool in (first, second):
                pool.registry.set_limits({TEAM: LOW_LIMIT})
                await sleep(1.0)
            second.tasks.append(GrantedTask(Resources(300, 100), 5.0))
            await sleep(3.0)
            self.assertEqual(second.registry.used(TEAM), NO_RESOURCES)

        self._run_pools(scenario)

    def test_runs_started_while_a_limit_was_absent_count_afterwards(self) -> None:
        async def scenario(first: GrantPool, second: GrantPool) -> None:
            for pool in (first, second):
                pool.registry.set_limits({TEAM: NO_RESOURCES})
            first.tasks.append(GrantedTask(LIMIT, LONG_SECONDS))
            await sleep(2.0)
            for pool in (first, second):
                pool.registry.set_limits({TEAM: LIMIT})
            await sleep(2.0)
            second.tasks.append(GrantedTask(Resources(2000, 100), 5.0))
            await sleep(3.0)
            self.assertEqual(second.registry.used(TEAM), NO_RESOURCES)

        self._run_pools(scenario)

    def test_random_limits_and_faults_let_no_start_exceed_the_recent_limits(
        self,
    ) -> None:
        for seed in range(1, 9):
            with self.subTest(seed=seed):
                run_virtual(self._change_limits(Random(seed)))

    def test_raised_limits_and_lost_writes_let_no_start_exceed_the_recent_limits(
        self,
    ) -> None:
        run_virtual(self._change_limits(Random(3027)))

    async def _change_limits(self, random: Random) -> None:
        store = SharedStore(random)
        pools = [GrantPool(f"p{number}", TEAM, LIMIT, store) for number in range(4)]
        for number, pool in enumerate(pools):
            pool.open(number + 1)
        token = len(pools)
        loop = get_running_loop()
        started_at = loop.time()
        limits = [(started_at, LIMIT)]
        seen: set[GrantedTask] = set()
        while loop.time() < started_at + RANDOM_SECONDS:
            await sleep(0.02)
            now = loop.time()
            store.response_loss_probability = store.late_write_probability = 0.1
            if random.random() < 0.1:
                needs = Resources(random.randrange(100, 1500), 100)
                seconds = random.uniform(0.3, 6.0)
                random.choice(pools).tasks.append(GrantedTask(needs, seconds))
            if random.random() < 0.005:
                limit = random.choice((LIMIT, LOW_LIMIT, Resources(8000), NO_RESOURCES))
                limits.append((now, limit))
                for pool in pools:
                    pool.set_limit(limit)
            if random.random() < 0.005:
                token += 1
                pool = random.choice(pools)
                await pool.close()
                pool.open(token)
            active = [t for p in pools for t in p.tasks if t.ends_at is not None]
            # A limit counts until the one after it has been in force for long enough.
            recent = [
                limit.cpu or UNLIMITED
                for index, (_, limit) in enumerate(limits)
                if index + 1 == len(limits)
                or limits[index + 1][0] > now - APPLY_SECONDS
            ]
            if not seen.issuperset(active):
                used = sum(task.needs.cpu for task in active)
                self.assertLessEqual(used, max(recent), now - started_at)
            seen.update(active)
        for pool in pools:
            await pool.close()
